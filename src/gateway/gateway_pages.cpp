/// Pages that a gateway serves to its platform and its operators.

#include "../../platform/wire_names.h"
#include "gateway.h"

#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    constexpr std::string_view kStatusPath = "/status";

    HttpResponse textResponse(int status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = std::move(body);
        return response;
    }

} // namespace

HttpResponse Gateway::operatorPage(const HttpRequest& request)
{
    return request.target == kStatusPath ? statusPage() : metricsPage();
}

HttpResponse Gateway::readinessPage(const HttpRequest& request) const
{
    if (request.target != platform::kReadinessPath)
        return textResponse(404, "no such page\n");
    return isReady() ? textResponse(200, "ready\n") : textResponse(503, "not ready\n");
}

HttpResponse Gateway::metricsPage()
{
    const DispatcherStats& stats = dispatcher_->stats();
    metrics_.setCounter("limpettrestle_calls_sent_total", "Calls handed to replicas", static_cast<double>(stats.callsSent));
    metrics_.setCounter("limpettrestle_repeats_total", "Calls beyond the first of a part", static_cast<double>(stats.repeats));
    metrics_.setCounter("limpettrestle_repeats_denied_total", "Repeats that the budget denied", static_cast<double>(stats.repeatsDenied));
    metrics_.setCounter("limpettrestle_parts_missing_total", "Parts missing from merged answers", static_cast<double>(stats.partsMissing));
    metrics_.setCounter("limpettrestle_calls_lost_total", "Calls that ended without a reply", static_cast<double>(stats.callsLost));
    metrics_.setCounter("limpettrestle_callers_left_total", "Callers that left before their answer", static_cast<double>(stats.callersLeft));
    metrics_.setCounter("limpettrestle_groups_sent_total", "Groups of shards handed to other instances", static_cast<double>(stats.groupsSent));
    metrics_.setCounter("limpettrestle_groups_lost_total", "Groups that did not come back", static_cast<double>(stats.groupsLost));
    metrics_.setCounter("limpettrestle_groups_gathered_total", "Groups gathered for other instances", static_cast<double>(stats.groupsGathered));
    metrics_.setCounter("limpettrestle_registry_calls_total", "Calls to the registry", static_cast<double>(registry_->calls()));
    metrics_.setCounter("limpettrestle_replica_connections", "Open connections to replicas", static_cast<double>(links_->stats().connections));
    metrics_.setCounter("limpettrestle_connections_opened_total", "Connections opened to replicas", static_cast<double>(links_->stats().opened));
    metrics_.setCounter("limpettrestle_log_lines_dropped_total", "Log lines dropped", static_cast<double>(log_.dropped()));
    metrics_.setCounter("limpettrestle_open_requests", "Requests without an answer", static_cast<double>(dispatcher_->openRequests()));
    return textResponse(200, metrics_.text());
}

HttpResponse Gateway::statusPage() const
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    const nlohmann::json status = { { "name", settings_.name }, { "zone", settings_.zone }, { "ready", isReady() }, { "leaving", isLeaving_ },
        { "cut_off", reachability_.isCutOff() }, { "config_version", table ? table->version() : 0 }, { "replicas", directory_.size() },
        { "knowledge_age_ms", sources_->age(clock_.now()).count() }, { "reads_registry", registry_->isActive() }, { "registry_calls", registry_->calls() },
        { "instances", fleetSize_ }, { "reader", isReader_ }, { "open_requests", dispatcher_->openRequests() } };
    return textResponse(200, status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace limpettrestle
