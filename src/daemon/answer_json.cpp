#include "answer_json.h"

#include <absl/strings/str_format.h>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    std::string formatHex(uint64_t value) { return absl::StrFormat("%016x", value); }
    std::string asString(std::string_view view) { return std::string(view); }

} // namespace

json toJson(const Answer& answer)
{
    const ResultCodeInfo& info = resultCodeInfo(answer.code);
    json out;
    out["request_id"] = toString(answer.request);
    out["outcome"] = asString(name(answer.outcome));
    out["code"] = static_cast<int>(answer.code);
    out["result"] = asString(info.name);
    out["config_version"] = answer.configVersion;
    if (answer.code != ResultCode::Ok)
        out["meaning"] = asString(info.meaning);
    if (answer.retryAfter > Millis(0))
        out["retry_after_ms"] = answer.retryAfter.count();
    if (answer.permit.isValid()) {
        out["permit"] = toString(answer.permit);
        out["permit_expires_unix_ms"] = std::chrono::duration_cast<Millis>(answer.permitExpiry.time_since_epoch()).count();
    }
    if (!answer.body.empty())
        out["body"] = answer.body;
    if (answer.shardsTotal == 0)
        return out;
    out["snapshot"] = answer.snapshot;
    out["map_version"] = answer.mapVersion;
    json& coverage = out["coverage"];
    coverage["shards"] = answer.shardsTotal;
    coverage["answered"] = answer.shardsCovered;
    coverage["complete"] = answer.missing.empty();
    coverage["missing"] = json::array();
    for (const MissingShard& missing : answer.missing) {
        const ResultCodeInfo& reason = resultCodeInfo(missing.reason);
        coverage["missing"].push_back({ { "shard", missing.shard }, { "code", static_cast<int>(missing.reason) }, { "reason", asString(reason.name) } });
    }
    out["rows"] = json::array();
    for (const Row& row : answer.rows)
        out["rows"].push_back({ { "id", row.id }, { "score", row.score }, { "shard", row.shard } });
    return out;
}

json toJson(const NodeStatus& status)
{
    json out;
    out["name"] = status.name;
    out["zone"] = status.zone;
    out["phase"] = asString(name(status.phase));
    out["ready"] = status.ready;
    out["incarnation"] = formatHex(status.incarnation.value);
    out["config"] = { { "version", status.config.version }, { "digest", formatHex(status.config.digest) } };
    out["platform_revision"] = status.platformRevision;
    out["config_reader"] = status.configReader;
    out["drained_servers"] = status.drainedServers;
    out["members"] = json::array();
    for (const MemberUpdate& member : status.members) {
        out["members"].push_back({ { "name", member.name }, { "address", member.address }, { "zone", formatHex(member.zone.value) },
            { "incarnation", formatHex(member.incarnation.value) }, { "state", asString(name(member.state)) } });
    }
    out["history"] = json::array();
    for (const ConfigHistoryEntry& entry : status.history) {
        out["history"].push_back({ { "change", entry.change }, { "revision", entry.revision }, { "code", static_cast<int>(entry.code) },
            { "result", asString(resultCodeInfo(entry.code).name) }, { "version", entry.stamp.version },
            { "digest", formatHex(entry.stamp.digest) }, { "detail", entry.detail } });
    }
    out["stats"] = toJson(status.stats);
    return out;
}

json toJson(const TimelineEvent& event, const std::string& instance)
{
    json out;
    out["wall_us"] = event.time.wallMicros;
    out["counter"] = event.time.counter;
    out["instance"] = instance;
    out["event"] = asString(name(event.kind));
    out["code"] = static_cast<int>(event.code);
    out["result"] = asString(resultCodeInfo(event.code).name);
    if (event.request.isValid())
        out["request"] = toString(event.request);
    out["shard"] = event.shard;
    out["attempt"] = event.attempt;
    out["subject"] = event.subject;
    out["number"] = event.number;
    return out;
}

json toJson(const NodeStats& stats)
{
    json out;
    for (const StatField& field : statFields())
        out[field.name] = stats.*field.member;
    return out;
}

json errorJson(ResultCode code, const std::string& detail)
{
    const ResultCodeInfo& info = resultCodeInfo(code);
    json out;
    out["outcome"] = "refused";
    out["code"] = static_cast<int>(code);
    out["result"] = asString(info.name);
    out["meaning"] = asString(info.meaning);
    out["detail"] = detail;
    return out;
}

const std::vector<StatField>& statFields()
{
    static const std::vector<StatField> kFields = {
        { "searches", "Searches admitted", &NodeStats::searches, false },
        { "searches_complete", "Searches answered with full coverage", &NodeStats::searchesComplete, false },
        { "searches_partial", "Searches answered with shards missing", &NodeStats::searchesPartial, false },
        { "searches_refused", "Searches refused before they were run", &NodeStats::searchesRefused, false },
        { "restarts", "Searches restarted on a newer pin", &NodeStats::restarts, false },
        { "sub_requests_needed", "Least sub-requests that the admitted requests need", &NodeStats::subRequestsNeeded, false },
        { "sub_requests_sent", "Sub-requests sent to backend servers", &NodeStats::subRequestsSent, false },
        { "preflights", "Preflights sent to backend servers", &NodeStats::preflights, false },
        { "hedges", "Hedges sent", &NodeStats::hedges, false },
        { "hedges_won", "Hedges that answered first", &NodeStats::hedgesWon, false },
        { "retries", "Retries sent", &NodeStats::retries, false },
        { "refused_by_owner", "Sub-requests refused unsent", &NodeStats::refusedByOwner, false },
        { "replies_dropped", "Late, duplicate or foreign replies dropped", &NodeStats::repliesDropped, false },
        { "submits_run", "Submissions handed to a backend server", &NodeStats::submitsRun, false },
        { "submits_unknown", "Submissions whose outcome is unknown", &NodeStats::submitsUnknown, false },
        { "permits_issued", "Permits issued", &NodeStats::permitsIssued, false },
        { "peer_messages", "Messages sent to other instances", &NodeStats::peerMessages, false },
        { "control_messages", "Membership and configuration messages sent", &NodeStats::controlMessages, false },
        { "platform_reads", "Orders to read the platform", &NodeStats::platformReads, false },
        { "late_wakes", "Pauses after which old beliefs were dropped", &NodeStats::lateWakes, false },
        { "ownership_moves", "Replicas that came to this instance", &NodeStats::ownershipMoves, false },
        { "queued", "Sub-requests waiting for a slot", &NodeStats::queued, true },
        { "in_flight", "Sub-requests at backend servers", &NodeStats::inFlight, true },
        { "open_requests", "Requests not yet answered", &NodeStats::openRequests, true },
        { "members_alive", "Instances believed alive", &NodeStats::membersAlive, true },
        { "owned_replicas", "Replicas owned", &NodeStats::ownedReplicas, true },
        { "drained_servers", "Backend servers that take no new work", &NodeStats::drainedServers, true },
        { "config_version", "Configuration version in force", &NodeStats::configVersion, true },
    };
    return kFields;
}

} // namespace limpettrestle
