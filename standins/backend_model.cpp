#include "backend_model.h"

#include <absl/strings/str_format.h>

namespace limpettrestle::standins {

namespace {

    using nlohmann::json;

    /// Time in which callers have to notice that the server drains.
    constexpr std::chrono::seconds kDrainGracePeriod { 3 };
    /// The service time varies uniformly by this fraction in both directions.
    constexpr double kServiceTimeJitter = 0.3;

} // namespace

BackendModel::BackendModel(BackendParameters initialParameters, uint64_t initialIncarnation, uint64_t seed)
    : parameters(std::move(initialParameters))
    , incarnation(initialIncarnation)
    , random_(seed)
{
}

AdmissionResult BackendModel::admit(const BackendRequest& request, TimePoint now)
{
    AdmissionResult admission;
    if (request.operation == BackendOperation::Preflight) {
        ++counts.preflights;
        return admission;
    }
    ++counts.calls;
    if (draining_) {
        if (now - drainStartedAt_ > kDrainGracePeriod)
            ++counts.callsAfterDrain;
        admission.refusal = ResultCode::ServerDraining;
        return admission;
    }
    const bool isSearch = request.operation == BackendOperation::Search;
    if (isSearch && request.mapVersion != parameters.mapVersion)
        admission.refusal = ResultCode::WrongPartitionMap;
    else if (request.shard != parameters.shard)
        admission.refusal = ResultCode::ShardNotHeld;
    else if (isSearch && (request.snapshot < parameters.oldestSnapshot || request.snapshot > parameters.newestSnapshot))
        admission.refusal = ResultCode::SnapshotGone;
    else if ((!hasFreeSlot() && isQueueFull()) || randomChance(faults.shedShare))
        admission.refusal = ResultCode::ServerShed;
    if (admission.refusal == ResultCode::ServerShed)
        ++counts.shed;
    if (admission.refusal != ResultCode::Ok)
        return admission;
    if (!hasFreeSlot())
        ++counts.slotOverruns;
    const double jitterFactor = std::uniform_real_distribution<double>(1 - kServiceTimeJitter, 1 + kServiceTimeJitter)(random_);
    const double micros = static_cast<double>(Micros(parameters.serviceTime).count()) * jitterFactor * faults.slowFactor;
    admission.duration = Micros(static_cast<int64_t>(micros));
    if (randomChance(faults.straggleShare))
        admission.duration += faults.straggleDelay;
    admission.losesReply = request.operation == BackendOperation::Submit && randomChance(faults.loseReplyShare);
    return admission;
}

BackendReply BackendModel::makeReply(const BackendRequest& request, ResultCode code, std::string& body)
{
    BackendReply reply;
    reply.code = code;
    reply.attempt = request.attempt;
    reply.shard = request.shard;
    reply.snapshot = request.snapshot;
    reply.mapVersion = parameters.mapVersion;
    reply.serverIncarnation = incarnation;
    reply.draining = draining_ && !(faults.hidesDrain && request.operation == BackendOperation::Preflight);
    reply.oldestSnapshot = parameters.oldestSnapshot;
    reply.newestSnapshot = parameters.newestSnapshot;
    if (code != ResultCode::Ok || request.operation == BackendOperation::Preflight)
        return reply;
    if (request.operation == BackendOperation::Submit) {
        body = absl::StrFormat("ran %s on %s", request.key, parameters.name);
        return reply;
    }
    // A reply for a wrong shard or snapshot carries the rows of that shard or snapshot.
    if (randomChance(faults.wrongShardShare))
        ++reply.shard;
    if (randomChance(faults.wrongSnapshotShare))
        ++reply.snapshot;
    json rows = json::array();
    const std::string query = request.body ? *request.body : "";
    for (uint32_t i = 0; i < std::min(parameters.rows, std::max(1U, request.limit)); ++i) {
        const double score = static_cast<double>(bodyChecksum(query + std::to_string(reply.shard * 100 + i)) % 10000) / 10000;
        rows.push_back({ { "id", absl::StrFormat("s%d-%d@%d", reply.shard, i, reply.snapshot) }, { "score", score } });
    }
    body = rows.dump();
    return reply;
}

void BackendModel::recordRun(const BackendRequest& request)
{
    ++counts.executed;
    if (request.operation != BackendOperation::Submit)
        return;
    ++runs[request.key];
    runRequests[request.key].push_back(request.attempt.request);
}

void BackendModel::drain(TimePoint now)
{
    draining_ = true;
    drainStartedAt_ = now;
}

bool BackendModel::randomChance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>()(random_) < share;
}

bool applyControl(BackendModel& model, const json& control, TimePoint now)
{
    struct ShareSetting {
        const char* name;
        double BackendFaults::*member;
    };
    static constexpr ShareSetting kShares[] = {
        { "straggle_share", &BackendFaults::straggleShare },
        { "shed_share", &BackendFaults::shedShare },
        { "truncate_share", &BackendFaults::truncateShare },
        { "wrong_shard_share", &BackendFaults::wrongShardShare },
        { "wrong_snapshot_share", &BackendFaults::wrongSnapshotShare },
        { "corrupt_share", &BackendFaults::corruptShare },
        { "bad_status_share", &BackendFaults::badStatusShare },
        { "lose_reply_share", &BackendFaults::loseReplyShare },
        { "slow_factor", &BackendFaults::slowFactor },
    };
    struct IntegerSetting {
        const char* name;
        uint64_t BackendParameters::*member;
    };
    static constexpr IntegerSetting kIntegers[] = {
        { "map_version", &BackendParameters::mapVersion },
        { "oldest_snapshot", &BackendParameters::oldestSnapshot },
        { "newest_snapshot", &BackendParameters::newestSnapshot },
    };
    if (!control.is_object())
        return false;
    for (const auto& [key, value] : control.items()) {
        bool isKnown = false;
        for (const ShareSetting& share : kShares) {
            if (key == share.name && value.is_number()) {
                model.faults.*share.member = value.get<double>();
                isKnown = true;
            }
        }
        for (const IntegerSetting& count : kIntegers) {
            if (key == count.name && value.is_number_unsigned()) {
                model.parameters.*count.member = value.get<uint64_t>();
                isKnown = true;
            }
        }
        if (key == "straggle_delay_ms" && value.is_number_unsigned()) {
            model.faults.straggleDelay = Millis(value.get<uint64_t>());
            isKnown = true;
        }
        if (key == "lies_about_drain" && value.is_boolean()) {
            model.faults.hidesDrain = value.get<bool>();
            isKnown = true;
        }
        if (key == "hangs" && value.is_boolean()) {
            model.faults.hangs = value.get<bool>();
            isKnown = true;
        }
        if (key == "drain" && value == true) {
            model.drain(now);
            isKnown = true;
        }
        if (!isKnown)
            return false;
    }
    return true;
}

} // namespace limpettrestle::standins
