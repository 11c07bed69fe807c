#include "admin_server.h"

#include "answer_json.h"

#include <absl/time/time.h>
#include <prometheus/text_serializer.h>

namespace limpettrestle {

namespace {

    constexpr absl::Duration kStatusTimeout = absl::Seconds(2);
    constexpr const char* kJsonContentType = "application/json";

    prometheus::MetricFamily makeFamily(const std::string& name, const char* help, double value, bool isGauge)
    {
        prometheus::MetricFamily family;
        family.name = "limpettrestle_" + name + (isGauge ? "" : "_total");
        family.help = help;
        family.type = isGauge ? prometheus::MetricType::Gauge : prometheus::MetricType::Counter;
        prometheus::ClientMetric metric;
        if (isGauge)
            metric.gauge.value = value;
        else
            metric.counter.value = value;
        family.metric.push_back(metric);
        return family;
    }

} // namespace

AdminServer::AdminServer(SharedState& shared, const DaemonSettings& settings, std::shared_ptr<prometheus::Registry> registry)
    : shared_(shared)
    , settings_(settings)
    , registry_(std::move(registry))
{
    server_.new_task_queue = [] { return new httplib::ThreadPool(4); };
    server_.set_tcp_nodelay(true);
    server_.Get("/healthz", [](const auto&, auto& response) { response.set_content("ok\n", "text/plain"); });
    server_.Get("/readyz", [this](const auto&, auto& response) {
        response.status = shared_.isReady ? 200 : 503;
        response.set_content(std::string(name(shared_.phase.load())) + "\n", "text/plain");
    });
    server_.Get("/metrics", [this](const auto&, auto& response) { onMetrics(response); });
    server_.Get("/v1/status", [this](const auto&, auto& response) {
        const auto query = queryStatus();
        response.status = query ? 200 : 503;
        response.set_content(query ? toJson(query->status).dump() + "\n" : errorJson(ResultCode::RingFull, "").dump(), kJsonContentType);
    });
    server_.Get("/v1/config", [this](const auto&, auto& response) {
        const auto query = queryStatus();
        response.status = query ? 200 : 503;
        response.set_content(query ? *query->configText : "", kJsonContentType);
    });
    server_.Get("/v1/timeline", [this](const auto& request, auto& response) { onTimeline(request, response); });
}

bool AdminServer::bind()
{
    return server_.bind_to_port(settings_.admin.host.c_str(), settings_.admin.port);
}

void AdminServer::run()
{
    server_.listen_after_bind();
}

void AdminServer::stop()
{
    server_.stop();
}

std::shared_ptr<StatusQuery> AdminServer::queryStatus()
{
    auto item = std::make_unique<InboxItem>();
    auto query = std::make_shared<StatusQuery>();
    item->statusQuery = query;
    if (!shared_.inbox.push(item) || !query->done.WaitForNotificationWithTimeout(kStatusTimeout))
        return nullptr;
    return query;
}

void AdminServer::onMetrics(httplib::Response& response)
{
    std::vector<prometheus::MetricFamily> families = registry_->Collect();
    if (const auto query = queryStatus()) {
        for (const StatField& field : statFields())
            families.push_back(makeFamily(field.name, field.help, static_cast<double>(query->status.stats.*field.member), field.isGauge));
    }
    families.push_back(makeFamily("bad_peer_messages", "Peer messages that could not be read", static_cast<double>(shared_.badPeerMessages), false));
    families.push_back(makeFamily("ring_full", "Events that met a full ring", static_cast<double>(shared_.ringFull), false));
    families.push_back(makeFamily("peer_bytes_out", "Bytes of messages sent to instances", static_cast<double>(shared_.peerBytesOut), false));
    families.push_back(makeFamily("control_bytes_out", "Bytes of membership and configuration messages sent", static_cast<double>(shared_.controlBytesOut), false));
    families.push_back(makeFamily("platform_calls", "Calls to the platform's service", static_cast<double>(shared_.platformCalls), false));
    response.set_content(prometheus::TextSerializer().Serialize(families), "text/plain; version=0.0.4");
}

void AdminServer::onTimeline(const httplib::Request& request, httplib::Response& response)
{
    RequestId id;
    if (request.has_param("request")) {
        id = parseRequestId(request.get_param_value("request"));
        if (!id.isValid()) {
            response.status = 400;
            response.set_content(errorJson(ResultCode::BadValue, "request: expected a request id").dump(), kJsonContentType);
            return;
        }
    }
    nlohmann::json events = nlohmann::json::array();
    for (const TimelineEvent& event : shared_.timeline.copy(id))
        events.push_back(toJson(event, settings_.name));
    response.set_content(events.dump() + "\n", kJsonContentType);
}

} // namespace limpettrestle
