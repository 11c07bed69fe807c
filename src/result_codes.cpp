#include "limpettrestle/result_codes.h"

#include <array>

namespace limpettrestle {

namespace {

    using RC = ResultCode;

    constexpr std::array kTable = {
        ResultCodeInfo { RC::Ok, "ok", "The request was run and every shard answered.", 200 },
        ResultCodeInfo { RC::MalformedJson, "malformed_json", "The body is not valid JSON.", 400 },
        ResultCodeInfo { RC::UnknownService, "unknown_service", "No service of that name is configured.", 404 },
        ResultCodeInfo { RC::DeadlinePassed, "deadline_passed", "The deadline is zero, negative or already over; nothing was run.", 400 },
        ResultCodeInfo { RC::BodyTooLarge, "body_too_large", "The body exceeds the configured limit and was not read.", 413 },
        ResultCodeInfo { RC::WrongMethod, "wrong_method", "The path exists but not with this method.", 405 },
        ResultCodeInfo { RC::DuplicateHeader, "duplicate_header", "A header that may appear once appears twice.", 400 },
        ResultCodeInfo { RC::MissingField, "missing_field", "A required field is absent.", 400 },
        ResultCodeInfo { RC::BadValue, "bad_value", "A field has the wrong type or is outside its range.", 400 },
        ResultCodeInfo { RC::UnknownField, "unknown_field", "A field is not part of the interface.", 400 },
        ResultCodeInfo { RC::UnknownPath, "unknown_path", "No such path.", 404 },
        ResultCodeInfo { RC::Overloaded, "overloaded", "Not run: the instance or server is full; retry after the given time.", 503 },
        ResultCodeInfo { RC::PredictedWaitExceedsDeadline, "predicted_wait_exceeds_deadline", "Not run: the predicted queue wait is longer than the time left.", 503 },
        ResultCodeInfo { RC::ShuttingDown, "shutting_down", "Not run: this instance is leaving; another one will take the request.", 503 },
        ResultCodeInfo { RC::NotReady, "not_ready", "Not run: this instance has no configuration yet.", 503 },
        ResultCodeInfo { RC::NoReplicaReachable, "no_replica_reachable", "No replica of the shard could be reached in time.", 503 },
        ResultCodeInfo { RC::PermitExpired, "permit_expired", "This submission was not run; an earlier one under the same permit may have been.", 409 },
        ResultCodeInfo { RC::PermitUnknown, "permit_unknown", "This submission was not run; the issuer does not know the permit, an earlier submission may have been run.", 409 },
        ResultCodeInfo { RC::PermitMismatch, "permit_mismatch", "Not run: the permit was issued for another key or service.", 409 },
        ResultCodeInfo { RC::IssuerUnreachable, "issuer_unreachable", "This submission was not run; the permit's issuer cannot be reached, an earlier submission may have been run.", 409 },
        ResultCodeInfo { RC::RingFull, "ring_full", "Not run: an internal queue is full.", 503 },
        ResultCodeInfo { RC::NotOwner, "not_owner", "Not run: the instance does not own the replica; the reply names its view of the owner.", 503 },
        ResultCodeInfo { RC::ServerDraining, "server_draining", "Not run: the backend server is leaving.", 503 },
        ResultCodeInfo { RC::ServerShed, "server_shed", "Not run: the backend server shed the call.", 503 },
        ResultCodeInfo { RC::Cancelled, "cancelled", "The attempt was cancelled.", 503 },
        ResultCodeInfo { RC::PeerUnreachable, "peer_unreachable", "The instance that owns the replica cannot be reached.", 503 },
        ResultCodeInfo { RC::StaleMessage, "stale_message", "Not run: the message outlived its time budget or its receiver was paused.", 503 },
        ResultCodeInfo { RC::SlotUnavailable, "slot_unavailable", "Not run: a hedge found no idle slot.", 503 },
        ResultCodeInfo { RC::RequestQuarantined, "request_quarantined", "The request has crashed the replicas that ran it, so it is not sent to another one; do not repeat it.", 400 },
        ResultCodeInfo { RC::RequestSuspended, "request_suspended", "Not run: replicas have crashed while they had this request; retry after the given time.", 503 },
        ResultCodeInfo { RC::ReplicasEvacuated, "replicas_evacuated", "Not run: the operator has evacuated the zones of all replicas of the shard.", 503 },
        ResultCodeInfo { RC::ClientMemoryFull, "client_memory_full", "Not run: the memory for the requests and answers of clients is full; retry after the given time.", 503 },
        ResultCodeInfo { RC::ConnectionsFull, "connections_full", "Not run: the connection was closed without an answer, to make room for another client.", 503 },
        ResultCodeInfo { RC::PartialCoverage, "partial_coverage", "Some shards are missing; the answer names them.", 200 },
        ResultCodeInfo { RC::CoverageBelowMinimum, "coverage_below_minimum", "Fewer shards answered than the caller accepts; no rows are returned.", 503 },
        ResultCodeInfo { RC::SnapshotChurn, "snapshot_churn", "The index changed more often than the query could be restarted.", 503 },
        ResultCodeInfo { RC::OutcomeUnknown, "outcome_unknown", "The request may have been run; it is never run again by this tier.", 502 },
        ResultCodeInfo { RC::StillRunning, "still_running", "An earlier submission under this permit is still running.", 409 },
        ResultCodeInfo { RC::AnswerNotTaken, "answer_not_taken", "The client did not read its answer while memory was needed, so the connection was closed; the request may have been run.", 502 },
        ResultCodeInfo { RC::BaseSuperseded, "base_superseded", "The patch's base version is no longer the newest.", 409 },
        ResultCodeInfo { RC::BaseDigestMismatch, "base_digest_mismatch", "The patch names the right base version with another digest.", 409 },
        ResultCodeInfo { RC::PatchDoesNotApply, "patch_does_not_apply", "The JSON Patch fails on its base document.", 422 },
        ResultCodeInfo { RC::DocumentInvalid, "document_invalid", "The document that results is not a valid configuration.", 422 },
        ResultCodeInfo { RC::DocumentTooLarge, "document_too_large", "The document that results exceeds the platform's value limit.", 413 },
        ResultCodeInfo { RC::VersionGap, "version_gap", "The patch's base version is not known here yet.", 409 },
        ResultCodeInfo { RC::VersionForked, "version_forked", "Two documents carry one version number; the first one accepted here stays in force.", 409 },
        ResultCodeInfo { RC::SettingsUnreadable, "settings_unreadable", "The settings file cannot be read.", 500 },
        ResultCodeInfo { RC::SettingsSyntax, "settings_syntax", "The settings file is not JSON with comments.", 500 },
        ResultCodeInfo { RC::SettingsUnknownKey, "settings_unknown_key", "The settings file has a key that does not exist.", 500 },
        ResultCodeInfo { RC::SettingsBadValue, "settings_bad_value", "A setting has the wrong type or is outside its range.", 500 },
        ResultCodeInfo { RC::SettingsMissingKey, "settings_missing_key", "A required setting is absent.", 500 },
        ResultCodeInfo { RC::TruncatedMessage, "truncated_message", "A message or body is shorter than it says.", 502 },
        ResultCodeInfo { RC::ForeignReply, "foreign_reply", "A reply belongs to no attempt of this instance.", 502 },
        ResultCodeInfo { RC::LateReply, "late_reply", "A reply arrived after its attempt had ended.", 502 },
        ResultCodeInfo { RC::WrongShard, "wrong_shard", "A reply names another shard than was asked.", 502 },
        ResultCodeInfo { RC::WrongSnapshot, "wrong_snapshot", "A reply comes from another snapshot than was pinned.", 502 },
        ResultCodeInfo { RC::WrongPartitionMap, "wrong_partition_map", "The server uses another partition map than was pinned.", 502 },
        ResultCodeInfo { RC::ChecksumMismatch, "checksum_mismatch", "A reply body does not match its checksum.", 502 },
        ResultCodeInfo { RC::SnapshotGone, "snapshot_gone", "The server no longer holds, or does not yet hold, the pinned snapshot.", 502 },
        ResultCodeInfo { RC::ShardNotHeld, "shard_not_held", "The server does not hold the shard.", 502 },
        ResultCodeInfo { RC::ConnectFailed, "connect_failed", "No connection could be made; nothing was sent.", 502 },
        ResultCodeInfo { RC::ConnectionLost, "connection_lost", "The connection ended after the request may have been sent.", 502 },
        ResultCodeInfo { RC::AttemptTimeout, "attempt_timeout", "No reply arrived within the time budget.", 504 },
        ResultCodeInfo { RC::ServerFailed, "server_failed", "The replica answered with a failure of its own.", 502 },
        ResultCodeInfo { RC::PlatformUnreachable, "platform_unreachable", "The platform's service does not answer.", 503 },
        ResultCodeInfo { RC::PlatformRateLimited, "platform_rate_limited", "The platform's service refused a read because of its rate limit.", 503 },
        ResultCodeInfo { RC::Usage, "usage", "The command line is not valid.", 500 },
        ResultCodeInfo { RC::Internal, "internal", "An internal check failed.", 500 },
    };

} // namespace

const ResultCodeInfo* resultCodeTable()
{
    return kTable.data();
}

int resultCodeCount()
{
    return static_cast<int>(kTable.size());
}

const ResultCodeInfo& resultCodeInfo(ResultCode code)
{
    for (const ResultCodeInfo& info : kTable) {
        if (info.code == code)
            return info;
    }
    return kTable.back();
}

} // namespace limpettrestle
