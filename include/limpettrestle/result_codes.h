#pragma once

#include <cstdint>
#include <string_view>

namespace limpettrestle {

/// Result of a request, a shard attempt, a configuration change or a settings check.
///
/// The hundreds digit is the category. docs/RESULT-CODES.md describes each code; a test compares it
/// with the table below.
enum class ResultCode : uint16_t {
    Ok = 0,

    MalformedJson = 101,
    UnknownService = 102,
    DeadlinePassed = 103,
    BodyTooLarge = 104,
    WrongMethod = 105,
    DuplicateHeader = 106,
    MissingField = 107,
    BadValue = 108,
    UnknownField = 109,
    UnknownPath = 110,

    Overloaded = 201,
    PredictedWaitExceedsDeadline = 202,
    ShuttingDown = 203,
    NotReady = 204,
    NoReplicaReachable = 205,
    PermitExpired = 206,
    PermitUnknown = 207,
    PermitMismatch = 208,
    IssuerUnreachable = 209,
    RingFull = 210,
    NotOwner = 211,
    ServerDraining = 212,
    ServerShed = 213,
    Cancelled = 214,
    PeerUnreachable = 215,
    StaleMessage = 216,
    SlotUnavailable = 217,
    RequestQuarantined = 218,
    RequestSuspended = 219,
    ReplicasEvacuated = 220,
    ClientMemoryFull = 221,
    ConnectionsFull = 222,

    PartialCoverage = 301,
    CoverageBelowMinimum = 302,
    SnapshotChurn = 303,

    OutcomeUnknown = 401,
    StillRunning = 402,
    AnswerNotTaken = 403,

    BaseSuperseded = 501,
    BaseDigestMismatch = 502,
    PatchDoesNotApply = 503,
    DocumentInvalid = 504,
    DocumentTooLarge = 505,
    VersionGap = 506,
    VersionForked = 507,

    SettingsUnreadable = 601,
    SettingsSyntax = 602,
    SettingsUnknownKey = 603,
    SettingsBadValue = 604,
    SettingsMissingKey = 605,

    TruncatedMessage = 701,
    ForeignReply = 702,
    LateReply = 703,
    WrongShard = 704,
    WrongSnapshot = 705,
    WrongPartitionMap = 706,
    ChecksumMismatch = 707,
    SnapshotGone = 708,
    ShardNotHeld = 709,
    ConnectFailed = 710,
    ConnectionLost = 711,
    AttemptTimeout = 712,
    ServerFailed = 713,

    PlatformUnreachable = 801,
    PlatformRateLimited = 802,
    Usage = 803,
    Internal = 899,
};

/// Row of the result code table.
struct ResultCodeInfo {
    ResultCode code;
    /// Stable lower-case name, used in answers and logs.
    std::string_view name;
    /// Description of one sentence, for people.
    std::string_view meaning;
    /// HTTP status of an answer to a caller with this code.
    int httpStatus;
};

/// Returns the first of the `resultCodeCount()` rows of the table.
const ResultCodeInfo* resultCodeTable();
int resultCodeCount();

/// Returns the row of a code, or the row of `Internal` for a value outside the enum.
const ResultCodeInfo& resultCodeInfo(ResultCode code);

} // namespace limpettrestle
