#pragma once

/// Decision library of limpettrestle: `(now, event) -> actions`.
///
/// One `Node` decides for one entry instance: it coordinates searches, owns replicas, issues
/// permits, tracks membership, drains and configuration. It does no I/O, starts no thread, reads
/// time only from `ClockI` and draws random numbers from a seeded generator, so that the same
/// events at the same times give the same actions.

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

/// Source of time. Implementations: the system's clocks, a virtual clock in tests.
class ClockI {
public:
    virtual ~ClockI() = default;
    /// Monotonic time; every deadline and lease is measured with it.
    virtual TimePoint now() const = 0;
    /// Wall time; used for the time line and for expiry times shown to callers.
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
/// One run of a process; drawn at start and never reused.
using Incarnation = Id<struct IncarnationTag>;
/// Correlates a caller's request with its answer inside one process.
using CallerTag = Id<struct CallerTagTag>;
/// One backend call of one process.
using BackendCallId = Id<struct BackendCallTag>;

/// Identifier derived from a configured name (xxHash64).
uint64_t hashName(std::string_view name);
template <typename IdType>
IdType idFromName(std::string_view name) { return IdType { hashName(name) }; }

/// Fleet-wide identity of a caller's request: who coordinates it, and its number there.
struct RequestId {
    Incarnation issuer;
    uint64_t sequence = 0;
    bool isValid() const { return issuer.isValid(); }
    auto operator<=>(const RequestId&) const = default;
};

/// Identity of one attempt at one shard of a request.
struct AttemptId {
    RequestId request;
    uint32_t number = 0;
    auto operator<=>(const AttemptId&) const = default;
};

/// Text form "<issuer hex>-<sequence>".
std::string toString(RequestId id);
/// Parses the text form; an invalid id on malformed input.
RequestId parseRequestId(std::string_view text);

/// Hybrid logical time stamp: wall microseconds and a counter that orders equal ones.
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
    /// Provably never sent to a backend server.
    Refused,
    /// May have been run.
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

/// Body bytes shared between attempts without copies.
using Body = std::shared_ptr<const std::string>;
Body makeBody(std::string text);

// ---------------------------------------------------------------- caller side

/// A search over all shards of a service.
struct SearchRequest {
    std::string service;
    /// Query text, handed to the backend servers as it is.
    std::string query;
    /// Time the caller waits, from reception.
    Millis deadline { 0 };
    /// Least share of shards that must have answered, 0 to 1.
    double minCoverage = 0.0;
    /// Rows wanted in the merged answer.
    uint32_t limit = 10;
    /// Class given by the caller; the service's own class where absent.
    bool hasPriority = false;
    PriorityClass priority = PriorityClass::Normal;
};

/// Names the issuing incarnation, the idempotency key and the expiry of one permission to run.
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

/// Asks for a permit for one request that may not be repeated.
struct PermitRequest {
    std::string service;
    std::string key;
};

/// A request that runs at most once.
struct SubmitRequest {
    std::string service;
    /// Idempotency key: names the business action; also selects the shard.
    std::string key;
    std::string body;
    Millis deadline { 0 };
    /// Invalid for the one-shot form: issued and used here, never to be resent.
    Permit permit;
};

/// One row of a search result.
struct Row {
    double score = 0;
    std::string id;
    uint32_t shard = 0;
};

/// A shard that is not covered by the answer.
struct MissingShard {
    uint32_t shard = 0;
    ResultCode reason = ResultCode::Ok;
};

/// Reply body of one covered shard.
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
    /// Replies of the covered shards; `mergeRows()` turns them into rows.
    std::vector<ShardBody> bodies;
    std::vector<Row> rows;
    /// Rows wanted and least coverage, as the caller asked.
    uint32_t limit = 0;
    double minCoverage = 0;
    /// Reply of the backend server to a submission.
    std::string body;
    /// Permit granted by a permit request.
    Permit permit;
    WallTime permitExpiry {};
    /// Least time after which asking again makes sense; zero when it does not matter.
    Millis retryAfter { 0 };
};

// ------------------------------------------------------------- backend servers

enum class BackendOperation : uint8_t { Search,
    Submit,
    /// Asks on the work path whether the server takes work; carries none.
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

/// Reply of a backend server, after the length and checksum of its body were verified.
struct BackendReply {
    /// `Ok`, or why the server did not run the call.
    ResultCode code = ResultCode::Ok;
    AttemptId attempt;
    uint32_t shard = 0;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    /// Incarnation of the server process; rises with each start.
    uint64_t serverIncarnation = 0;
    bool draining = false;
    uint64_t oldestSnapshot = 0;
    uint64_t newestSnapshot = 0;
    Body body;
};

// ------------------------------------------------------------- peer messages

/// What one instance believes of another, as spread between instances.
struct MemberUpdate {
    InstanceId id;
    std::string name;
    std::string address;
    ZoneId zone;
    Incarnation incarnation;
    /// Raised by the member itself to refute a suspicion.
    uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
};

/// News of a backend server incarnation: it takes no new work, or it serves again.
struct DrainRecord {
    ReplicaId replica;
    uint64_t serverIncarnation = 0;
    /// A newer incarnation than the drained one takes work.
    bool serving = false;
};

struct ConfigStamp {
    uint64_t version = 0;
    uint64_t digest = 0;
    auto operator<=>(const ConfigStamp&) const = default;
};

/// Piggybacked on probes and acknowledgements.
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
/// Unsolicited news, sent on at once.
struct Notice {
    Gossip gossip;
};

/// A configuration patch as the platform published it.
struct ConfigRecord {
    uint64_t revision = 0;
    /// Operator's own name for the change.
    std::string change;
    ConfigStamp base;
    /// JSON Patch, or the whole document where `checkpoint` is set.
    std::string text;
    bool checkpoint = false;
    /// Version of the document that a checkpoint carries.
    uint64_t version = 0;
};

/// An accepted patch and the version it led to.
struct ConfigNews {
    ConfigRecord record;
    ConfigStamp result;
};

/// Asks a peer for its configuration and drained servers.
struct StateRequest {
    ConfigStamp config;
};
/// Whole document of a version; empty text where the asker has it already.
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
    /// Runs only if a slot is idle.
    bool hedge = false;
    /// The receiver acts for an owner that the coordinator cannot reach.
    bool deputy = false;
};
/// Sub-requests of one request for replicas of one owner.
struct ExecuteBatch {
    RequestId request;
    ServiceId service;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint64_t configVersion = 0;
    uint32_t limit = 0;
    PriorityClass priority = PriorityClass::Normal;
    /// Time left when sent.
    Micros budget { 0 };
    Body query;
    std::vector<ExecuteItem> items;
};
struct ExecuteItemResult {
    uint32_t attempt = 0;
    uint32_t shard = 0;
    ReplicaId replica;
    ResultCode code = ResultCode::Ok;
    /// True when a byte of the call may have reached the server.
    bool sent = false;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint64_t oldestSnapshot = 0;
    uint64_t newestSnapshot = 0;
    /// Owner's prediction for the next item of the same class at this replica.
    Micros predictedWait { 0 };
    /// Owner in the receiver's view, with `NotOwner`.
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

/// Asks an owner to lend one slot of a replica, so that the sender itself calls the server once.
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

/// Hands a submission to the incarnation that issued its permit.
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

/// True for messages of membership and configuration, false for those of requests.
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
    /// Backend server incarnation the entry speaks of; zero when the platform does not say.
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
/// The transport gave up on a peer; messages since the last success may be lost.
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
    /// False only when no byte was handed to a connection.
    bool sent = true;
};
struct PlatformMembersRead {
    uint64_t revision = 0;
    std::vector<PlatformMember> members;
};
struct PlatformConfigRead {
    /// Newest revision that the platform has.
    uint64_t revision = 0;
    std::vector<ConfigRecord> records;
};
struct PlatformFailed {
    ResultCode code = ResultCode::PlatformUnreachable;
};
/// Time has passed; also sent at each `nextWakeup()`.
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
/// Tells the server that the reply is no longer wanted.
struct CancelBackend {
    BackendCallId call;
    std::string address;
    AttemptId attempt;
};
struct AnswerCaller {
    CallerTag tag;
    Answer answer;
};
/// How the platform is to be read from now on.
struct ReadPlatform {
    /// Keeps a watch open when set; one read otherwise.
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

/// Entry of the time line.
struct TimelineEvent {
    HlcTime time;
    TimelineKind kind = TimelineKind::PhaseChanged;
    ResultCode code = ResultCode::Ok;
    RequestId request;
    uint32_t shard = 0;
    uint32_t attempt = 0;
    /// Name of the replica, instance or change the event is about.
    std::string subject;
    /// Version, incarnation or count, by kind.
    uint64_t number = 0;
};

using Action = std::variant<SendPeer, CallBackend, CancelBackend, AnswerCaller, ReadPlatform, TimelineEvent>;

// ----------------------------------------------------------------- the library

/// Counters of one node since its start; plain sums unless named otherwise.
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
    /// Gauges.
    uint64_t queued = 0;
    uint64_t inFlight = 0;
    uint64_t openRequests = 0;
    uint64_t membersAlive = 0;
    uint64_t ownedReplicas = 0;
    uint64_t drainedServers = 0;
    uint64_t configVersion = 0;
};

/// Verdict of this instance on a configuration change.
struct ConfigHistoryEntry {
    /// Operator's own name for the change.
    std::string change;
    /// Platform revision under which it was published.
    uint64_t revision = 0;
    ResultCode code = ResultCode::Ok;
    /// Version that it led to; zero when refused.
    ConfigStamp stamp;
    std::string detail;
};

/// Snapshot of a node for operators.
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

/// Everything a node needs at start.
struct NodeInit {
    std::string name;
    std::string zone;
    /// Peer address, "ip:port".
    std::string peerAddress;
    Incarnation incarnation;
    uint64_t seed = 1;
    const ClockI* clock = nullptr;
    /// Peers known before the platform answers.
    std::vector<PlatformMember> seeds;
    /// Open requests that this instance takes at most.
    uint32_t maxRequests = 4096;
    /// Time between the leave notice and the last accepted caller request.
    Millis balancerLag { 2000 };
    /// Longest time a shutdown waits for open requests.
    Millis drainLimit { 10000 };
};

/// Decides for one entry instance. Not thread-safe.
class Node {
public:
    Node();
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Starts deciding; actions of the start are returned by the first `handle()`.
    ResultCode init(const NodeInit& init);
    void shutdown();

    /// Handles an event at the clock's present time and appends what is to be done.
    void handle(const Event& event, std::vector<Action>& actions);
    /// Time at which a `Tick` is due.
    TimePoint nextWakeup() const;

    bool isReady() const;
    Phase phase() const;
    NodeStatus status() const;
    const NodeStats& stats() const;
    /// Text of the configuration in force; empty before the first.
    Body configText() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/// Verdict on a proposed configuration change.
struct ConfigChangeResult {
    ResultCode code = ResultCode::Ok;
    ConfigStamp stamp;
    /// What is wrong, with the place in the document.
    std::string detail;
    /// Resulting document where accepted.
    std::string text;
};

/// Applies a change to a document by the same rules on every instance.
ConfigChangeResult evaluateConfigChange(ConfigStamp current, std::string_view currentText, const ConfigRecord& record);
/// Merges the shard bodies of a search answer into its best rows, by falling score. A body that is
/// not a list of rows takes its shard out of the coverage. Runs outside the decision thread.
void mergeRows(Answer& answer);
/// Digest of a configuration document (xxHash64 of its canonical text).
uint64_t configDigest(std::string_view text);
/// Checksum of a reply body (xxHash64).
uint64_t bodyChecksum(std::string_view body);

} // namespace limpettrestle
