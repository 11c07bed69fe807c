#pragma once

/// Counters and latency histograms of the gateway, served as Prometheus text.

#include "../request/dispatcher.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace limpettrestle {

class GatewayMetrics {
public:
    GatewayMetrics();

    void addRequest(const RequestReport& report);
    void setCounter(const std::string& name, const std::string& help, double value);
    std::string text() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& latencies_;
    /// By route, kind and outcome.
    absl::flat_hash_map<std::string, prometheus::Counter*> answerCounters_;
    absl::flat_hash_map<std::string, prometheus::Histogram*> latencyHistograms_;
    absl::flat_hash_map<std::string, prometheus::Gauge*> sums_;
};

} // namespace limpettrestle
