#include "promises.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace limpettrestle::tests {

namespace {

    constexpr std::string_view kPromiseNames[] = { "one snapshot", "true coverage", "own answer", "refused means not run", "at most once",
        "drain", "graceful shutdown", "configuration never reverts" };
    /// Time after its deadline by which an answer may be late if the instance was not paused.
    constexpr Millis kAnswerSlack { 60 };

    class Checker {
    public:
        explicit Checker(const TestBed& bed)
            : bed_(bed)
        {
        }

        std::vector<Violation> run()
        {
            for (const auto& [tag, request] : bed_.requests()) {
                checkAnsweredOnceInTime(request);
                if (request.answers == 0)
                    continue;
                if (request.isSubmit)
                    checkSubmit(request);
                else
                    checkSearch(request);
            }
            for (const auto& [serverName, server] : bed_.servers) {
                for (const auto& [key, runs] : server->runs) {
                    if (bed_.runsOf(key) > 1)
                        fail(Promise::AtMostOnce, absl::StrCat(key, " ran ", bed_.runsOf(key), " times"));
                }
                if (server->counts.callsAfterDrain > 0)
                    fail(Promise::Drain, absl::StrCat(serverName, " got ", server->counts.callsAfterDrain, " calls after its drain began"));
            }
            for (const auto& [instanceName, instance] : bed_.instances) {
                if (instance.hasConfigReverted)
                    fail(Promise::ConfigNeverReverts, instanceName + " reverted to an older configuration version");
            }
            return std::move(violations_);
        }

    private:
        void fail(Promise promise, std::string detail) { violations_.push_back({ promise, std::move(detail) }); }

        void checkAnsweredOnceInTime(const TrackedRequest& request)
        {
            if (request.answers > 1)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " was answered ", request.answers, " times"));
            if (request.hasInstanceFailed)
                return;
            const bool isOver = bed_.now() > request.sentAt + request.deadline + kAnswerSlack;
            if (request.answers == 0 && isOver)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " was not answered in time"));
            if (request.answers > 0 && request.answeredAt > request.sentAt + request.deadline + kAnswerSlack)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " was answered late"));
        }

        void checkSubmit(const TrackedRequest& request)
        {
            const uint64_t runs = bed_.runsOf(request.key);
            const Outcome outcome = request.answer.outcome;
            if (outcome == Outcome::Refused && ranDespiteRefusal(request))
                fail(Promise::RefusedNotRun, absl::StrCat(request.key, " was refused with ", static_cast<int>(request.answer.code), " and ran; ", describeSubmissions(request.key)));
            if (outcome == Outcome::Done && runs != 1)
                fail(Promise::AtMostOnce, absl::StrCat(request.key, " was answered as done and ran ", runs, " times"));
        }

        /// Returns true if a server executed the refused submission, or an earlier one with the same
        /// key. Submissions that the caller sent after the refusal do not count.
        bool ranDespiteRefusal(const TrackedRequest& refused) const
        {
            for (const auto& [serverName, server] : bed_.servers) {
                const auto it = server->runRequests.find(refused.key);
                if (it == server->runRequests.end())
                    continue;
                for (const RequestId& id : it->second) {
                    if (sentAtForRun(refused.key, id) <= refused.sentAt)
                        return true;
                }
            }
            return false;
        }

        /// Describes all submissions with a key, for failure messages.
        std::string describeSubmissions(const std::string& key) const
        {
            std::string text;
            for (const auto& [tag, request] : bed_.requests()) {
                if (request.key != key)
                    continue;
                absl::StrAppend(&text, "[#", tag, " at ", request.instance, ", ", (request.sentAt.time_since_epoch() / Millis(1)) % 1000000, " ms, answers ", request.answers);
                if (request.answers > 0)
                    absl::StrAppend(&text, ", id ", toString(request.answer.request), " code ", static_cast<int>(request.answer.code));
                absl::StrAppend(&text, "] ");
            }
            for (const auto& [serverName, server] : bed_.servers) {
                const auto it = server->runRequests.find(key);
                for (size_t i = 0; it != server->runRequests.end() && i < it->second.size(); ++i)
                    absl::StrAppend(&text, "ran as ", toString(it->second[i]), " ");
            }
            return text;
        }

        /// Returns the time at which the submission that ran under the id was sent. The id of an
        /// unanswered submission is unknown, so the earliest unanswered one with the key is used.
        TimePoint sentAtForRun(const std::string& key, const RequestId& id) const
        {
            TimePoint earliestUnanswered = TimePoint::max();
            for (const auto& [tag, request] : bed_.requests()) {
                if (request.key != key)
                    continue;
                if (request.answers > 0 && request.answer.request == id)
                    return request.sentAt;
                if (request.answers == 0)
                    earliestUnanswered = std::min(earliestUnanswered, request.sentAt);
            }
            return earliestUnanswered;
        }

        void checkSearch(const TrackedRequest& request)
        {
            const Answer& answer = request.answer;
            if (answer.shardsTotal == 0)
                return;
            const uint32_t covered = static_cast<uint32_t>(answer.bodies.size());
            const bool adds = covered == answer.shardsCovered && covered + answer.missing.size() == answer.shardsTotal;
            if (!adds || (answer.code == ResultCode::Ok) != answer.missing.empty())
                fail(Promise::TrueCoverage, absl::StrCat("request ", request.tag, " reports ", covered, " covered and ", answer.missing.size(), " missing shards of ", answer.shardsTotal));
            for (const ShardBody& shard : answer.bodies)
                checkBody(request, shard);
        }

        void checkBody(const TrackedRequest& request, const ShardBody& shard)
        {
            const auto rows = nlohmann::json::parse(*shard.body, nullptr, false);
            if (rows.is_discarded() || !rows.is_array() || rows.empty()) {
                fail(Promise::TrueCoverage, absl::StrCat("shard ", shard.shard, " has a body without rows"));
                return;
            }
            for (size_t i = 0; i < rows.size(); ++i) {
                const auto id = rows[i]["id"].get<std::string>();
                const std::string prefix = absl::StrCat("s", shard.shard, "-", i, "@");
                if (id.compare(0, prefix.size(), prefix) != 0)
                    fail(Promise::TrueCoverage, absl::StrCat("shard ", shard.shard, " has the row ", id));
                if (id != absl::StrCat(prefix, request.answer.snapshot))
                    fail(Promise::OneSnapshot, absl::StrCat("row ", id, " is in an answer for snapshot ", request.answer.snapshot));
                const double score = static_cast<double>(bodyChecksum(absl::StrCat(request.query, shard.shard * 100 + i)) % 10000) / 10000;
                if (rows[i]["score"].get<double>() != score)
                    fail(Promise::OwnAnswer, absl::StrCat("row ", id, " does not belong to the query ", request.query));
            }
        }

        const TestBed& bed_;
        std::vector<Violation> violations_;
    };

} // namespace

std::string_view name(Promise promise)
{
    return kPromiseNames[static_cast<size_t>(promise)];
}

std::vector<Violation> checkPromises(const TestBed& bed)
{
    return Checker(bed).run();
}

} // namespace limpettrestle::tests
