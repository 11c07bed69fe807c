/// Pages that a gateway serves to the platform (readiness) and to operators (status, metrics).

#include "../../platform/wire_names.h"
#include "gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    constexpr std::string_view kStatusPath = "/status";

    double countRateLimited(const ReplicaDirectory& directory)
    {
        const auto& all = directory.all();
        return static_cast<double>(std::count_if(all.begin(), all.end(), [](const auto& entry) { return entry.second->rate.isLimited(); }));
    }

    /// Lists the evacuated zones, each with the Unix time in milliseconds at which an instance first learned of it.
    nlohmann::json evacuatedZonesJson(const ClusterState& state, const ClockI& clock)
    {
        nlohmann::json zones = nlohmann::json::array();
        for (const SharedFact& fact : state.evacuatedZones()) {
            const auto age = std::chrono::duration_cast<Millis>(clock.now() - fact.learnedAt);
            const auto since = std::chrono::duration_cast<Millis>(clock.wallNow().time_since_epoch()) - age;
            zones.push_back({ { "zone", fact.subject }, { "since_unix_ms", since.count() }, { "for_ms", age.count() }, { "source", fact.source } });
        }
        return zones;
    }

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
    metrics_.setGauge("limpettrestle_calls_sent_total", "Calls handed to replicas", static_cast<double>(stats.callsSent));
    metrics_.setGauge("limpettrestle_repeats_total", "Calls beyond the first of a part", static_cast<double>(stats.repeats));
    metrics_.setGauge("limpettrestle_repeats_denied_total", "Repeats that the budget denied", static_cast<double>(stats.repeatsDenied));
    metrics_.setGauge("limpettrestle_repeats_without_room_total", "Repeats that were not made because the replicas have no room", static_cast<double>(stats.repeatsWithoutRoom));
    metrics_.setGauge("limpettrestle_refused_without_room_total", "Requests refused because the replicas have no room", static_cast<double>(stats.refusedWithoutRoom));
    metrics_.setGauge("limpettrestle_admitted_fraction", "Lowest fraction of the requests of a service that is admitted", dispatcher_->admittedFraction());
    metrics_.setGauge("limpettrestle_parts_missing_total", "Parts missing from merged answers", static_cast<double>(stats.partsMissing));
    metrics_.setGauge("limpettrestle_calls_lost_total", "Calls that ended without a reply", static_cast<double>(stats.callsLost));
    metrics_.setGauge("limpettrestle_callers_left_total", "Callers that left before their answer", static_cast<double>(stats.callersDisconnected));
    metrics_.setGauge("limpettrestle_groups_sent_total", "Groups of shards handed to other instances", static_cast<double>(stats.groupsSent));
    metrics_.setGauge("limpettrestle_groups_lost_total", "Groups that did not come back", static_cast<double>(stats.groupsLost));
    metrics_.setGauge("limpettrestle_groups_gathered_total", "Groups gathered for other instances", static_cast<double>(stats.groupsGathered));
    metrics_.setGauge("limpettrestle_relays_sent_total", "Requests relayed to other instances", static_cast<double>(stats.relaysSent));
    metrics_.setGauge("limpettrestle_relays_lost_total", "Relayed requests that did not come back", static_cast<double>(stats.relaysLost));
    metrics_.setGauge("limpettrestle_relays_served_total", "Requests of other instances", static_cast<double>(stats.relaysServed));
    metrics_.setGauge("limpettrestle_registry_calls_total", "Calls to the registry", static_cast<double>(registryClient_->calls()));
    metrics_.setGauge("limpettrestle_replica_connections", "Open connections to replicas", static_cast<double>(replicaLinks_->stats().openConnections));
    metrics_.setGauge("limpettrestle_replies_oversized_total", "Replies of replicas that exceeded a size limit", static_cast<double>(replicaLinks_->stats().oversizedReplies));
    metrics_.setGauge("limpettrestle_connections_opened_total", "Connections opened to replicas", static_cast<double>(replicaLinks_->stats().connectionsOpened));
    metrics_.setGauge("limpettrestle_requests_quarantined", "Different requests that are not sent to replicas because they crash them", static_cast<double>(crashLedger_.quarantinedCount()));
    metrics_.setGauge("limpettrestle_quarantined_requests_total", "Requests refused or ended because they crash replicas", static_cast<double>(stats.quarantinedRequests));
    metrics_.setGauge("limpettrestle_replicas_rate_limited", "Replicas that limit their request rate", countRateLimited(state_.directory()));
    metrics_.setGauge("limpettrestle_zones_evacuated", "Zones whose replicas get no calls because the operator has evacuated them", static_cast<double>(state_.directory().evacuatedZones().size()));
    metrics_.setGauge("limpettrestle_replicas_cold", "Replicas that are cold", static_cast<double>(coldReplicas_.count()));
    metrics_.setGauge("limpettrestle_log_lines_dropped_total", "Log lines dropped", static_cast<double>(log_.dropped()));
    const HttpServerStats clients = clientStats();
    metrics_.setGauge("limpettrestle_client_connections", "Open connections of clients, at all listeners", static_cast<double>(clientConnections()));
    metrics_.setGauge("limpettrestle_client_memory_bytes", "Memory held for the requests and answers of clients", static_cast<double>(ClientBudget::ofProcess().bytes()));
    metrics_.setGauge("limpettrestle_client_memory_full_total", "Requests refused because that memory is full", static_cast<double>(clients.refusedWithoutMemory));
    metrics_.setGauge("limpettrestle_answers_not_taken_total", "Connections closed because their client did not read its answer while that memory was needed", static_cast<double>(clients.answersNotTaken));
    metrics_.setGauge("limpettrestle_connections_evicted_total", "Connections closed to make room for others", static_cast<double>(clients.evicted));
    metrics_.setGauge("limpettrestle_open_requests", "Requests without an answer", static_cast<double>(dispatcher_->openRequests()));
    return textResponse(200, metrics_.serialize());
}

HttpResponse Gateway::statusPage() const
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    const nlohmann::json status = { { "name", settings_.name }, { "zone", settings_.zone }, { "ready", isReady() }, { "leaving", stop_.hasBegun() },
        { "cut_off", reachability_.isCutOff() }, { "config_version", table ? table->version() : 0 }, { "replicas", state_.directory().size() },
        { "knowledge_age_ms", sourceChoice_->age(clock_.now()).count() }, { "reads_registry", registryClient_->isActive() }, { "registry_calls", registryClient_->calls() },
        { "instances", lastFleetSize_ }, { "reader", isReader_ }, { "open_requests", dispatcher_->openRequests() }, { "evacuated_zones", evacuatedZonesJson(state_, clock_) } };
    return textResponse(200, status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
}

} // namespace limpettrestle
