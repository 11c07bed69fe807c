#pragma once

/// Decision library of limpettrestle: `(now, event) -> actions`.
///
/// One `Node` makes all decisions of one instance: it coordinates searches, owns replicas, issues
/// permits, and tracks membership, draining servers and configuration. It does no I/O, starts no
/// thread, reads time only from `ClockI` and draws random numbers from a seeded generator, so that
/// the same events at the same times produce the same actions.

#include "limpettrestle/result_codes.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limpettrestle {

using TimePoint = std::chrono::steady_clock::time_point;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using WallTime = std::chrono::system_clock::time_point;

/// Time source, implemented by the system clocks and by a virtual clock in tests.
class ClockI {
public:
    virtual ~ClockI() = default;
    /// Monotonic time, used for all deadlines and leases.
    virtual TimePoint now() const = 0;
    /// Wall time, used for the timeline and for expiry times shown to callers.
    virtual WallTime wallNow() const = 0;
};

/// Typed 64-bit identifier. Zero is the invalid value.
template <typename Tag>
struct Id {
    uint64_t value = 0;
    bool isValid() const { return value != 0; }
    auto operator<=>(const Id&) const = default;
    template <typename H>
    friend H AbslHashValue(H h, const Id& id) { return H::combine(std::move(h), id.value); }
};

using InstanceId = Id<struct InstanceTag>;
using ReplicaId = Id<struct ReplicaTag>;
using ServiceId = Id<struct ServiceTag>;
using ZoneId = Id<struct ZoneTag>;
/// Identifies one run of a process. Chosen at startup and never reused.
using Incarnation = Id<struct IncarnationTag>;
/// Matches a caller's request with its answer inside one process.
using CallerTag = Id<struct CallerTagTag>;
/// Identifies a backend call inside one process.
using BackendCallId = Id<struct BackendCallTag>;

/// xxHash64 of a configured name; never zero, the invalid value of `Id`.
uint64_t hashName(std::string_view name);
template <typename IdType>
IdType idFromName(std::string_view name) { return IdType { hashName(name) }; }

/// Fleet-wide identity of a caller's request: the incarnation of the coordinating instance and
/// the request's sequence number there.
struct RequestId {
    Incarnation issuer;
    uint64_t sequence = 0;
    bool isValid() const { return issuer.isValid(); }
    auto operator<=>(const RequestId&) const = default;
};

/// Identity of one attempt to run one shard of a request.
struct AttemptId {
    RequestId request;
    uint32_t number = 0;
    auto operator<=>(const AttemptId&) const = default;
};

/// Text form "<issuer hex>-<sequence>".
std::string toString(RequestId id);
/// Parses the text form. Returns an invalid id if it is malformed.
RequestId parseRequestId(std::string_view text);

/// Hybrid logical clock timestamp: wall time in microseconds and a counter that orders equal
/// wall times.
struct HlcTime {
    int64_t wallMicros = 0;
    uint32_t counter = 0;
    auto operator<=>(const HlcTime&) const = default;
};

enum class PriorityClass : uint8_t { Urgent,
    Normal,
    Deferrable };
constexpr int kPriorityClassCount = 3;

enum class Outcome : uint8_t {
    Done,
    /// The request was provably never sent to a backend server.
    Refused,
    /// The request may have been run.
    Unknown,
};

enum class MemberState : uint8_t { Alive,
    Suspect,
    Dead,
    Leaving };

enum class Phase : uint8_t { Starting,
    Serving,
    Leaving,
    Stopped };

std::string_view name(PriorityClass value);
std::string_view name(Outcome value);
std::string_view name(MemberState value);
std::string_view name(Phase value);

/// Immutable body bytes, shared between attempts without copying.
using Body = std::shared_ptr<const std::string>;
Body makeBody(std::string text);

// ---------------------------------------------------------------- caller side

/// A search over all shards of a service.
struct SearchRequest {
    std::string service;
    /// Query text, passed to the backend servers unchanged.
    std::string query;
    /// Time budget, counted from the reception of the request.
    Millis deadline { 0 };
    /// Minimum fraction of shards that must answer, 0 to 1.
    double minCoverage = 0.0;
    /// Maximum number of rows in the merged answer.
    uint32_t limit = 10;
    /// True if the caller set `priority`; otherwise the service's configured class applies.
    bool hasPriority = false;
    PriorityClass priority = PriorityClass::Normal;
};

/// Token that allows a submission to run at most once. It holds the issuing instance and
/// incarnation and a random nonce; the issuer stores its idempotency key and expiry.
struct Permit {
    InstanceId issuer;
    Incarnation incarnation;
    uint64_t nonceHigh = 0;
    uint64_t nonceLow = 0;
    bool isValid() const { return issuer.isValid() && incarnation.isValid(); }
    auto operator<=>(const Permit&) const = default;
};
std::string toString(const Permit& permit);
Permit parsePermit(std::string_view text);

/// Requests a permit for a submission that must run at most once.
struct PermitRequest {
    std::string service;
    std::string key;
};

/// A submission, which runs at most once.
struct SubmitRequest {
    std::string service;
    /// Idempotency key: identifies the business action and selects the shard.
    std::string key;
    std::string body;
    Millis deadline { 0 };
    /// Invalid for the one-shot form: the receiving instance then issues the permit and uses it at
    /// once, and the caller must not resend the submission.
    Permit permit;
};

/// One row of a search result.
struct Row {
    double score = 0;
    std::string id;
    uint32_t shard = 0;
};

/// A shard that the answer does not cover.
struct MissingShard {
    uint32_t shard = 0;
    ResultCode reason = ResultCode::Ok;
};

/// Reply body of a covered shard.
struct ShardBody {
    uint32_t shard = 0;
    Body body;
};

/// Answer to any caller request.
struct Answer {
    RequestId request;
    Outcome outcome = Outcome::Refused;
    ResultCode code = ResultCode::Ok;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint64_t configVersion = 0;
    uint32_t shardsTotal = 0;
    uint32_t shardsCovered = 0;
    std::vector<MissingShard> missing;
    /// Replies of the covered shards, which `mergeRows()` merges into `rows`.
    std::vector<ShardBody> bodies;
    std::vector<Row> rows;
    /// Row limit and minimum coverage from the caller's request.
    uint32_t limit = 0;
    double minCoverage = 0;
    /// Reply of the backend server to a submission.
    std::string body;
    /// Permit granted by a permit request.
    Permit permit;
    WallTime permitExpiry {};
    /// Minimum time to wait before a retry; zero if a retry need not wait.
    Millis retryAfter { 0 };
};

// ------------------------------------------------------------- backend servers

enum class BackendOperation : uint8_t { Search,
    Submit,
    /// Checks over the request path whether the server accepts work; carries no work itself.
    Preflight };

/// Call to a backend server.
struct BackendRequest {
    BackendOperation operation = BackendOperation::Search;
    AttemptId attempt;
    ServiceId service;
    uint32_t shard = 0;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint32_t limit = 0;
    Micros budget { 0 };
    std::string key;
    Body body;
};

/// Reply of a backend server whose body length and checksum have been verified.
struct BackendReply {
    /// `Ok`, or the reason why the server did not run the call.
    ResultCode code = ResultCode::Ok;
    AttemptId attempt;
    uint32_t shard = 0;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    /// Incarnation of the server process; increases with each start.
    uint64_t serverIncarnation = 0;
    bool draining = false;
    uint64_t oldestSnapshot = 0;
    uint64_t newestSnapshot = 0;
    Body body;
};

// ------------------------------------------------------------- peer messages

/// State of an instance as known to the sender; spread by gossip.
struct MemberUpdate {
    InstanceId id;
    std::string name;
    std::string address;
    ZoneId zone;
    Incarnation incarnation;
    /// Incremented by the member itself to refute a suspicion.
    uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
};

/// State of a backend server incarnation: it accepts no new work, or it serves again.
struct DrainRecord {
    ReplicaId replica;
    uint64_t serverIncarnation = 0;
    /// True if this incarnation accepts work and is newer than the drained one.
    bool serving = false;
};

/// Version and content digest of a configuration document.
struct ConfigStamp {
    uint64_t version = 0;
    uint64_t digest = 0;
    auto operator<=>(const ConfigStamp&) const = default;
};

/// State updates piggybacked on probes and acknowledgements.
struct Gossip {
    std::vector<MemberUpdate> members;
    std::vector<DrainRecord> drains;
    ConfigStamp config;
};

struct Probe {
    uint64_t sequence = 0;
    Gossip gossip;
};
struct ProbeAck {
    uint64_t sequence = 0;
    Gossip gossip;
};
/// Asks a third instance to probe `target` on the sender's behalf.
struct ProbeRequest {
    uint64_t sequence = 0;
    InstanceId target;
};
/// Gossip that is sent immediately instead of with the next probe.
struct Notice {
    Gossip gossip;
};

/// A configuration change as published on the platform.
struct ConfigRecord {
    uint64_t revision = 0;
    /// Operator-chosen name of the change.
    std::string change;
    ConfigStamp base;
    /// JSON Patch, or the whole document if `checkpoint` is set.
    std::string text;
    bool checkpoint = false;
    /// Version of the document in a checkpoint.
    uint64_t version = 0;
};

/// An accepted configuration change and the version that it produced.
struct ConfigNews {
    ConfigRecord record;
    ConfigStamp result;
};

/// Asks a peer for its configuration, members and drained servers.
struct StateRequest {
    /// Configuration that the sender has.
    ConfigStamp config;
};
/// Reply to a `StateRequest`. `text` is the whole document, or empty if the requester does not need
/// it.
struct StateReply {
    ConfigStamp stamp;
    uint64_t platformRevision = 0;
    Body text;
    std::vector<DrainRecord> drains;
    std::vector<MemberUpdate> members;
};

struct ExecuteItem {
    uint32_t attempt = 0;
    uint32_t shard = 0;
    ReplicaId replica;
    /// A hedge runs only if a slot is idle.
    bool hedge = false;
    /// The receiver is the deputy of an owner that the coordinator cannot reach.
    bool deputy = false;
};
/// Sub-requests of one request for replicas that have the same owner.
struct ExecuteBatch {
    RequestId request;
    ServiceId service;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint64_t configVersion = 0;
    uint32_t limit = 0;
    PriorityClass priority = PriorityClass::Normal;
    /// Time left when the batch was sent.
    Micros budget { 0 };
    Body query;
    std::vector<ExecuteItem> items;
};
struct ExecuteItemResult {
    uint32_t attempt = 0;
    uint32_t shard = 0;
    ReplicaId replica;
    ResultCode code = ResultCode::Ok;
    /// True if any byte of the call may have reached the server.
    bool sent = false;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint64_t oldestSnapshot = 0;
    uint64_t newestSnapshot = 0;
    /// Owner's prediction of the queue wait of the next item of the same class at this replica.
    Micros predictedWait { 0 };
    /// Owner of the replica in the receiver's view; set with `NotOwner`.
    InstanceId ownerHint;
    Body body;
};
struct ExecuteResults {
    RequestId request;
    std::vector<ExecuteItemResult> items;
};
struct CancelBatch {
    RequestId request;
    std::vector<uint32_t> attempts;
};

/// Asks an owner to lend one slot of a replica, so that the sender can call the server once itself.
struct SlotRequest {
    RequestId request;
    ReplicaId replica;
    Micros budget { 0 };
};
struct SlotReply {
    RequestId request;
    ReplicaId replica;
    ResultCode code = ResultCode::Ok;
    Micros predictedWait { 0 };
    InstanceId ownerHint;
};
struct SlotRelease {
    RequestId request;
    ReplicaId replica;
};

/// Forwards a submission to the incarnation that issued its permit.
struct SubmitForward {
    RequestId request;
    Permit permit;
    std::string service;
    std::string key;
    std::string body;
    Micros budget { 0 };
};
struct SubmitOutcome {
    RequestId request;
    Outcome outcome = Outcome::Refused;
    ResultCode code = ResultCode::Ok;
    Millis retryAfter { 0 };
    std::string body;
};

using PeerBody = std::variant<Probe, ProbeAck, ProbeRequest, Notice, ConfigNews, StateRequest, StateReply,
    ExecuteBatch, ExecuteResults, CancelBatch, SlotRequest, SlotReply, SlotRelease, SubmitForward, SubmitOutcome>;

/// True for membership and configuration messages, false for messages that belong to requests.
bool isControlMessage(const PeerBody& body);

/// Message between two instances.
struct PeerMessage {
    InstanceId from;
    Incarnation incarnation;
    HlcTime time;
    PeerBody body;
};

// ------------------------------------------------------------------- platform

struct PlatformMember {
    std::string name;
    std::string address;
    std::string zone;
    bool backend = false;
    bool leaving = false;
    /// Backend server incarnation of the entry; zero if the platform does not provide it.
    uint64_t serverIncarnation = 0;
};

// --------------------------------------------------------------------- events

struct CallerSearch {
    CallerTag tag;
    SearchRequest request;
};
struct CallerPermit {
    CallerTag tag;
    PermitRequest request;
};
struct CallerSubmit {
    CallerTag tag;
    SubmitRequest request;
};
struct PeerReceived {
    PeerMessage message;
};
/// The transport could not reach a peer. Messages sent since the last success may be lost.
struct PeerFailed {
    InstanceId peer;
};
struct BackendReplied {
    BackendCallId call;
    BackendReply reply;
};
struct BackendFailed {
    BackendCallId call;
    ResultCode code = ResultCode::ConnectionLost;
    /// False only if no byte was written to a connection.
    bool sent = true;
};
struct PlatformMembersRead {
    uint64_t revision = 0;
    std::vector<PlatformMember> members;
};
struct PlatformConfigRead {
    /// Newest revision on the platform.
    uint64_t revision = 0;
    std::vector<ConfigRecord> records;
};
struct PlatformFailed {
    ResultCode code = ResultCode::PlatformUnreachable;
};
/// Signals that time has passed. Also sent at each `nextWakeup()`.
struct Tick { };
struct ShutdownRequested { };

using Event = std::variant<CallerSearch, CallerPermit, CallerSubmit, PeerReceived, PeerFailed, BackendReplied,
    BackendFailed, PlatformMembersRead, PlatformConfigRead, PlatformFailed, Tick, ShutdownRequested>;

// -------------------------------------------------------------------- actions

struct SendPeer {
    InstanceId to;
    std::string address;
    std::shared_ptr<const PeerMessage> message;
};
struct CallBackend {
    BackendCallId call;
    ReplicaId replica;
    std::string address;
    BackendRequest request;
};
/// Tells the server that the reply is no longer needed.
struct CancelBackend {
    BackendCallId call;
    std::string address;
    AttemptId attempt;
};
struct AnswerCaller {
    CallerTag tag;
    Answer answer;
};
/// Sets how the platform is read from now on.
struct ReadPlatform {
    /// True to keep a watch open; false to read once.
    bool watch = false;
    uint64_t configRevision = 0;
    uint64_t membersRevision = 0;
};

enum class TimelineKind : uint8_t {
    RequestAdmitted,
    RequestRestarted,
    RequestAnswered,
    AttemptSent,
    AttemptEnded,
    HedgeSent,
    RetrySent,
    ReplyDropped,
    PermitIssued,
    SubmitRun,
    MemberChanged,
    OwnershipChanged,
    ConfigAccepted,
    ConfigRefused,
    ServerDrained,
    ServerReturned,
    ReplicaDown,
    ReplicaUp,
    PhaseChanged,
    WokeLate,
    PlatformRead,
};
std::string_view name(TimelineKind value);

/// Timeline entry.
struct TimelineEvent {
    HlcTime time;
    TimelineKind kind = TimelineKind::PhaseChanged;
    ResultCode code = ResultCode::Ok;
    RequestId request;
    uint32_t shard = 0;
    uint32_t attempt = 0;
    /// Name of the replica, instance, phase or configuration change that the event concerns.
    std::string subject;
    /// Version, incarnation, count or duration in milliseconds, depending on `kind`.
    uint64_t number = 0;
};

using Action = std::variant<SendPeer, CallBackend, CancelBackend, AnswerCaller, ReadPlatform, TimelineEvent>;

// ----------------------------------------------------------------- the library

/// Counters of a node since its start, followed by gauges.
struct NodeStats {
    uint64_t searches = 0;
    uint64_t searchesComplete = 0;
    uint64_t searchesPartial = 0;
    uint64_t searchesRefused = 0;
    uint64_t restarts = 0;
    uint64_t subRequestsNeeded = 0;
    uint64_t subRequestsSent = 0;
    uint64_t preflights = 0;
    uint64_t hedges = 0;
    uint64_t hedgesWon = 0;
    uint64_t retries = 0;
    uint64_t refusedByOwner = 0;
    uint64_t repliesDropped = 0;
    uint64_t submitsRun = 0;
    uint64_t submitsUnknown = 0;
    uint64_t permitsIssued = 0;
    uint64_t peerMessages = 0;
    uint64_t controlMessages = 0;
    uint64_t platformReads = 0;
    uint64_t lateWakes = 0;
    uint64_t ownershipMoves = 0;
    /// The fields from here on are gauges.
    uint64_t queued = 0;
    uint64_t inFlight = 0;
    uint64_t openRequests = 0;
    uint64_t membersAlive = 0;
    uint64_t ownedReplicas = 0;
    uint64_t drainedServers = 0;
    uint64_t configVersion = 0;
};

/// Result of a configuration change on this instance.
struct ConfigHistoryEntry {
    /// Operator-chosen name of the change.
    std::string change;
    /// Platform revision at which the change was published.
    uint64_t revision = 0;
    ResultCode code = ResultCode::Ok;
    /// Version that the change produced; zero if it was refused.
    ConfigStamp stamp;
    std::string detail;
};

/// State of a node, for operators.
struct NodeStatus {
    Phase phase = Phase::Starting;
    bool ready = false;
    std::string name;
    std::string zone;
    Incarnation incarnation;
    ConfigStamp config;
    uint64_t platformRevision = 0;
    bool configReader = false;
    std::vector<MemberUpdate> members;
    std::vector<std::string> drainedServers;
    std::vector<ConfigHistoryEntry> history;
    NodeStats stats;
};

/// Startup parameters of a node.
struct NodeInit {
    std::string name;
    std::string zone;
    /// Peer address, "ip:port".
    std::string peerAddress;
    Incarnation incarnation;
    uint64_t seed = 1;
    const ClockI* clock = nullptr;
    /// Peers that are known before the platform answers.
    std::vector<PlatformMember> seeds;
    /// Maximum number of open requests on this instance.
    uint32_t maxRequests = 4096;
    /// Time during which caller requests are still accepted after this instance has announced that
    /// it leaves.
    Millis balancerLag { 2000 };
    /// Maximum time that a shutdown waits for open requests after `balancerLag`.
    Millis drainLimit { 10000 };
};

/// Makes all decisions of one instance. Not thread-safe.
class Node {
public:
    Node();
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Initializes the node; the first `handle()` returns the startup actions. Returns `BadValue`
    /// if a required parameter is missing or the node is already initialized.
    ResultCode init(const NodeInit& init);
    /// Destroys the state of the node at once. `ShutdownRequested` starts a graceful shutdown.
    void shutdown();

    /// Handles an event at the clock's current time and appends the resulting actions.
    void handle(const Event& event, std::vector<Action>& actions);
    /// Time at which the next `Tick` is due.
    TimePoint nextWakeup() const;

    bool isReady() const;
    Phase phase() const;
    NodeStatus status() const;
    const NodeStats& stats() const;
    /// Text of the active configuration; empty if there is none yet.
    Body configText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/// Result of evaluating a configuration change.
struct ConfigChangeResult {
    ResultCode code = ResultCode::Ok;
    ConfigStamp stamp;
    /// Error message with the position in the document; empty on success.
    std::string detail;
    /// Resulting document; empty if the change is refused.
    std::string text;
};

/// Applies a change to a document and validates the result. The rules are deterministic, so that
/// every instance reaches the same result.
ConfigChangeResult evaluateConfigChange(ConfigStamp current, std::string_view currentText, const ConfigRecord& record);
/// Merges the shard bodies of a search answer into its best rows, sorted by descending score. A
/// shard whose body is not a list of rows no longer counts as covered. Runs outside the decision
/// thread.
void mergeRows(Answer& answer);
/// Digest of a configuration document (xxHash64 of its canonical text).
uint64_t configDigest(std::string_view text);
/// Checksum of a reply body (xxHash64).
uint64_t bodyChecksum(std::string_view body);

} // namespace limpettrestle
