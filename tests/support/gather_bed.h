#pragma once

/// Test bed of an instance that divides its searches among the other instances of its zone.

#include "routing_bed.h"

namespace limpettrestle {

/// Number of shards of the searches.
constexpr size_t kShards = 40;

/// Transport that records groups and leaves their replies to the test.
class TestGroupTransport final : public GroupTransportI {
public:
    struct SentGroup {
        uint64_t id = 0;
        std::string aggregator;
        GroupRequest request;
        bool isCancelled = false;
    };

    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override { sent.push_back({ group, aggregator.name, std::move(request) }); }
    void cancelGroup(uint64_t group) override
    {
        for (SentGroup& entry : sent)
            entry.isCancelled = entry.isCancelled || entry.id == group;
    }

    std::vector<SentGroup> sent;
};

/// Test bed of an instance with seven other instances in its zone.
struct GatherTestBed {
    explicit GatherTestBed(double minCoverage = 0.89)
        : plan({ "n0", 0.1 })
        , bed(100, &plan, &groups)
    {
        plan.setInstances(zoneOfEight());
        bed.useStandardRoutes(kShards, RepeatPolicy::Idempotent, minCoverage);
    }

    /// Returns a reply that contains all parts except the missing ones.
    static GroupReply replyTo(const GroupRequest& request, const std::vector<MissingPart>& missing = {})
    {
        GroupReply reply;
        for (const std::string& shard : request.shards) {
            const bool isMissing = std::any_of(missing.begin(), missing.end(), [&shard](const MissingPart& part) { return part.service == shard; });
            if (!isMissing)
                reply.signatures.push_back("sig-" + shard);
        }
        reply.missing = missing;
        reply.records = std::string(16, 'y');
        return reply;
    }

    /// Answers all groups except the one at `index`.
    void answerAllExcept(size_t index)
    {
        for (size_t i = 0; i < groups.sent.size(); ++i) {
            if (i != index)
                bed.dispatcher->groupAnswered(groups.sent[i].id, replyTo(groups.sent[i].request));
        }
    }

    /// Starts a search that is divided into groups.
    void startDividedSearch(uint64_t request) { bed.start(request, "/all/q"); }
    void answerFirstGroup(GroupReply reply) { bed.dispatcher->groupAnswered(groups.sent.at(0).id, std::move(reply)); }

    GatherPlan plan;
    TestGroupTransport groups;
    RoutingTestBed bed;
};

} // namespace limpettrestle
