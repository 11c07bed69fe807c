#include "gateway_metrics.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

namespace limpettrestle {

namespace {

    /// Histogram bounds in seconds, around the latency targets in use.
    const prometheus::Histogram::BucketBoundaries kLatencyBuckets { 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2 };

} // namespace

GatewayMetrics::GatewayMetrics()
    : answers_(prometheus::BuildCounter().Name("limpettrestle_answers_total").Help("Final answers to callers").Register(registry_))
    , latencies_(prometheus::BuildHistogram().Name("limpettrestle_answer_seconds").Help("Time from reception to final answer").Register(registry_))
{
}

void GatewayMetrics::addRequest(const RequestReport& report)
{
    const std::string kind = report.isMerged ? "merged" : "forwarded";
    const std::string outcome(resultCodeInfo(report.code).name);
    const std::string route = report.route.empty() ? "none" : report.route;
    prometheus::Counter*& counter = answerCounters_[fmt::format("{}|{}|{}", route, kind, outcome)];
    if (counter == nullptr)
        counter = &answers_.Add({ { "route", route }, { "kind", kind }, { "outcome", outcome } });
    counter->Increment();
    prometheus::Histogram*& histogram = latencyHistograms_[fmt::format("{}|{}", route, kind)];
    if (histogram == nullptr)
        histogram = &latencies_.Add({ { "route", route }, { "kind", kind } }, kLatencyBuckets);
    histogram->Observe(std::chrono::duration<double>(report.duration).count());
}

void GatewayMetrics::setGauge(const std::string& name, const std::string& help, double value)
{
    prometheus::Gauge*& gauge = gauges_[name];
    if (gauge == nullptr)
        gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
    gauge->Set(value);
}

std::string GatewayMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace limpettrestle
