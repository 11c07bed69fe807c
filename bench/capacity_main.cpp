/// Measures how the costs of the decision library grow with the size of a deployment, for
/// docs/CAPACITY.md. Each output line holds the costs at one size. Runs in one process without sockets.

#include "../src/connection/replica_owner.h"
#include "../src/daemon/peer_codec.h"
#include "../src/request/coordinator.h"
#include "../src/version/config_chain.h"

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace limpettrestle::bench {

namespace {

    constexpr int kZones = 8;

    /// Clock that advances only on request.
    class ManualClock final : public ClockI {
    public:
        TimePoint now() const override { return now_; }
        WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(now_.time_since_epoch())); }
        void advance(Micros time) { now_ += time; }

    private:
        TimePoint now_ { std::chrono::hours(10) };
    };

    double cpuSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    size_t heapBytes() { return mallinfo2().uordblks; }

    std::string zoneName(int zone) { return absl::StrCat("zone-", zone); }

    std::string makeDocument(uint32_t replicas, uint32_t shardsPerService, uint32_t group)
    {
        nlohmann::json services;
        uint32_t replicaCount = 0;
        for (int serviceNumber = 0; replicaCount < replicas; ++serviceNumber) {
            nlohmann::json shards = nlohmann::json::array();
            for (uint32_t shard = 0; shard < shardsPerService && replicaCount < replicas; ++shard) {
                nlohmann::json replicaEntries = nlohmann::json::array();
                for (int replicaNumber = 0; replicaNumber < 2; ++replicaNumber, ++replicaCount)
                    replicaEntries.push_back({ { "name", absl::StrCat("s", serviceNumber, "-", shard, "-", replicaNumber) }, { "address", absl::StrCat("10.", replicaCount / 250, ".0.", replicaCount % 250, ":80") }, { "zone", zoneName(static_cast<int>(shard + static_cast<uint32_t>(replicaNumber)) % kZones) } });
                shards.push_back(replicaEntries);
            }
            services[absl::StrCat("service-", serviceNumber)] = { { "map_version", 1 }, { "snapshot", 1 }, { "slots", 2 }, { "connections", 25 }, { "shards", shards } };
        }
        return nlohmann::json { { "services", services }, { "policy", { { "owner_group", group } } } }.dump();
    }

    NodeInit makeInit(const ClockI& clock)
    {
        NodeInit init;
        init.name = "i-0-0";
        init.zone = zoneName(0);
        init.peerAddress = "10.0.0.1:1";
        init.incarnation = { 1 };
        init.clock = &clock;
        return init;
    }

    /// Creates a node in a cluster of `members` instances in eight zones, with the configuration `text`.
    std::unique_ptr<Node> startNode(ManualClock& clock, int members, const std::string& text)
    {
        auto node = std::make_unique<Node>();
        node->init(makeInit(clock));
        std::vector<Action> actions;
        PlatformMembersRead read;
        for (int i = 1; i < members; ++i)
            read.members.push_back({ absl::StrCat("i-", i % kZones, "-", i / kZones), absl::StrCat("10.0.1.", i, ":1"), zoneName(i % kZones), false, false, 0 });
        node->handle(read, actions);
        ConfigRecord record;
        record.revision = 1;
        record.change = "first";
        record.checkpoint = true;
        record.version = 1;
        record.text = text;
        node->handle(PlatformConfigRead { 1, { record } }, actions);
        StateReply state;
        state.text = makeBody("");
        node->handle(PeerReceived { { { idFromName<InstanceId>("i-1-0") }, { 5 }, {}, state } }, actions);
        clock.advance(Millis(100));
        node->handle(Tick {}, actions);
        return node;
    }

    uint64_t encodedSize(const PeerMessage& message)
    {
        capnp::MallocMessageBuilder builder;
        encodePeerMessage(message, builder.initRoot<wire::Message>());
        return builder.sizeInWords() * sizeof(capnp::word);
    }

    /// Answers every probe at once, so that all members stay alive. Adds the size of the messages sent
    /// to `bytes`.
    void answerProbes(Node& node, const std::vector<Action>& actions, uint64_t& bytes)
    {
        std::vector<Action> replies;
        for (const Action& action : actions) {
            const auto* send = std::get_if<SendPeer>(&action);
            if (!send)
                continue;
            bytes += encodedSize(*send->message);
            if (const auto* probe = std::get_if<Probe>(&send->message->body))
                node.handle(PeerReceived { { send->to, { 5 }, send->message->time, ProbeAck { probe->sequence, {} } } }, replies);
        }
    }

    /// Measures CPU, memory and traffic of the background tasks over 60 s without requests.
    void measureControl(int members)
    {
        ManualClock clock;
        const size_t heapBefore = heapBytes();
        const auto node = startNode(clock, members, makeDocument(64, 16, 4));
        const size_t heapGrowth = heapBytes() - heapBefore;
        // Other instances of the zone probe this one once a second, as often as it probes them.
        uint64_t bytes = 0;
        constexpr int kSeconds = 60;
        const double start = cpuSeconds();
        std::vector<Action> actions;
        std::mt19937_64 random(1);
        const int zoneMates = members / kZones - 1;
        const auto others = static_cast<uint64_t>(std::max(1, zoneMates));
        for (int tick = 0; tick < kSeconds * 20; ++tick) {
            clock.advance(Millis(50));
            actions.clear();
            node->handle(Tick {}, actions);
            answerProbes(*node, actions, bytes);
            if (tick % 20 != 0)
                continue;
            const auto other = idFromName<InstanceId>(absl::StrCat("i-0-", 1 + random() % others));
            actions.clear();
            node->handle(PeerReceived { { other, { 5 }, {}, Probe { static_cast<uint64_t>(tick), {} } } }, actions);
            answerProbes(*node, actions, bytes);
        }
        const double cpu = cpuSeconds() - start;
        std::cout << "control members=" << members << " core_percent=" << 100 * cpu / kSeconds << " bytes_per_s=" << bytes / kSeconds
                  << " heap_kb=" << heapGrowth / 1024 << "\n";
    }

    /// Measures the memory of a configuration document and the CPU time of applying a patch to it.
    void measureDocument(uint32_t replicas)
    {
        const std::string text = makeDocument(replicas, 250, 4);
        ConfigChain chain;
        ConfigRecord first;
        first.revision = 1;
        first.change = "first";
        first.checkpoint = true;
        first.version = 1;
        first.text = text;
        const size_t heapBefore = heapBytes();
        chain.applyRecord(first);
        const size_t heapGrowth = heapBytes() - heapBefore;
        constexpr uint64_t kChanges = 5;
        const double start = cpuSeconds();
        for (uint64_t i = 0; i < kChanges; ++i) {
            ConfigRecord patch;
            patch.revision = i + 2;
            patch.change = absl::StrCat("change-", i);
            patch.base = chain.stamp();
            patch.text = absl::StrCat("[{\"op\":\"replace\",\"path\":\"/services/service-0/snapshot\",\"value\":", i + 2, "}]");
            chain.applyRecord(patch);
        }
        const double ms = 1000 * (cpuSeconds() - start) / kChanges;
        std::cout << "document replicas=" << replicas << " bytes=" << text.size() << " patch_ms=" << ms << " heap_kb=" << heapGrowth / 1024
                  << " core_percent_at_5400_a_day=" << 100 * ms / 1000 * 5400 / 86400 << "\n";
    }

    /// Measures the messages and the CPU time of the decisions for one search over `shards` shards in a
    /// cluster of `members` instances.
    void measureSearch(int members, uint32_t shards, uint32_t group)
    {
        ManualClock clock;
        const auto node = startNode(clock, members, makeDocument(shards * 2, shards, group));
        constexpr int kSearches = 200;
        uint64_t batches = 0;
        uint64_t items = 0;
        uint64_t tag = 0;
        std::vector<Action> actions;
        std::vector<Action> answers;
        double cpu = 0;
        for (int i = 0; i < kSearches; ++i) {
            SearchRequest request;
            request.service = "service-0";
            request.query = "q";
            request.deadline = Millis(230);
            actions.clear();
            double start = cpuSeconds();
            node->handle(CallerSearch { { ++tag }, request }, actions);
            cpu += cpuSeconds() - start;
            clock.advance(Millis(8));
            for (const Action& action : actions) {
                const auto* send = std::get_if<SendPeer>(&action);
                const auto* batch = send ? std::get_if<ExecuteBatch>(&send->message->body) : nullptr;
                if (!batch)
                    continue;
                ++batches;
                items += batch->items.size();
                PeerMessage reply { send->to, { 5 }, send->message->time, ExecuteResults { batch->request, {} } };
                for (const ExecuteItem& item : batch->items) {
                    ExecuteItemResult result;
                    result.attempt = item.attempt;
                    result.shard = item.shard;
                    result.replica = item.replica;
                    result.snapshot = batch->snapshot;
                    result.mapVersion = batch->mapVersion;
                    result.body = makeBody("[]");
                    std::get<ExecuteResults>(reply.body).items.push_back(result);
                }
                answers.clear();
                start = cpuSeconds();
                node->handle(PeerReceived { reply }, answers);
                cpu += cpuSeconds() - start;
            }
        }
        std::cout << "search members=" << members << " shards=" << shards << " owner_group=" << group << " messages_per_search=" << static_cast<double>(batches) / kSearches
                  << " items_per_message=" << static_cast<double>(items) / static_cast<double>(std::max<uint64_t>(1, batches)) << " decision_us_per_sub_request=" << 1e6 * cpu / static_cast<double>(std::max<uint64_t>(1, items)) << "\n";
    }

    /// Measures how evenly the replicas of a zone are distributed over its instances. Ownership is by
    /// rendezvous hashing.
    void measureBalance(int perZone, uint32_t replicas, uint32_t group)
    {
        ManualClock clock;
        NodeContext context(makeInit(clock));
        ConfigProblem problem;
        const FleetConfigPtr config = parseFleetConfig({ 1, 1 }, makeBody(makeDocument(replicas, 250, group)), problem);
        absl::btree_map<uint64_t, uint32_t> owned;
        for (int i = 0; i < perZone; ++i)
            owned[hashName(absl::StrCat("i-0-", i))] = 0;
        for (const auto& [id, replica] : config->replicaIndex) {
            if (replica->zone != idFromName<ZoneId>(zoneName(0)))
                continue;
            uint64_t best = 0;
            uint64_t owner = 0;
            for (const auto& [instance, count] : owned) {
                const uint64_t score = hashName(absl::StrCat(replica->ownerKey, "/", instance));
                if (score > best) {
                    best = score;
                    owner = instance;
                }
            }
            ++owned[owner];
        }
        uint32_t maxOwned = 0;
        uint32_t withoutReplicas = 0;
        uint32_t total = 0;
        for (const auto& [instance, count] : owned) {
            maxOwned = std::max(maxOwned, count);
            withoutReplicas += count == 0 ? 1 : 0;
            total += count;
        }
        std::cout << "balance per_zone=" << perZone << " replicas_in_zone=" << total << " owner_group=" << group << " mean=" << static_cast<double>(total) / perZone
                  << " most=" << maxOwned << " without=" << withoutReplicas << "\n";
    }

} // namespace

} // namespace limpettrestle::bench

int main()
{
    using namespace limpettrestle::bench;
    for (const int members : { 8, 24, 80, 240, 600, 1200 })
        measureControl(members);
    for (const uint32_t replicas : { 500U, 2000U, 4500U, 8900U })
        measureDocument(replicas);
    for (const int members : { 24, 240, 1200 }) {
        for (const uint32_t group : { 1U, 4U, 8U, 16U })
            measureSearch(members, 250, group);
    }
    for (const uint32_t shards : { 20U, 60U, 120U, 250U })
        measureSearch(1200, shards, 4);
    for (const uint32_t group : { 1U, 4U, 8U, 16U })
        measureBalance(150, 8900, group);
    return 0;
}
