#pragma once

/// Metrics of the gateway in the Prometheus text format.

#include "../request/dispatcher.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace limpettrestle {

class GatewayMetrics {
public:
    GatewayMetrics();

    /// Counts the answer to a caller and records its latency.
    void addRequest(const RequestReport& report);
    /// Sets a metric without labels, registering it on first use.
    void setGauge(const std::string& name, const std::string& help, double value);
    std::string serialize() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& latencies_;
    /// Keyed by route, kind and outcome.
    absl::flat_hash_map<std::string, prometheus::Counter*> answerCounters_;
    /// Keyed by route and kind.
    absl::flat_hash_map<std::string, prometheus::Histogram*> latencyHistograms_;
    /// Keyed by name.
    absl::flat_hash_map<std::string, prometheus::Gauge*> gauges_;
};

} // namespace limpettrestle
