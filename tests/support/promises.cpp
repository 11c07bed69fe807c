#include "promises.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace limpettrestle::tests {

namespace {

    constexpr std::string_view kNames[] = { "one snapshot", "true coverage", "own answer", "refused means not run", "at most once",
        "drain", "graceful shutdown", "configuration never reverts" };
    /// An answer may leave this much after its deadline, when its instance was not paused.
    constexpr Millis kAnswerSlack { 60 };

    class Checker {
    public:
        explicit Checker(const Bed& bed)
            : bed_(bed)
        {
        }

        std::vector<Violation> run()
        {
            for (const auto& [tag, request] : bed_.requests()) {
                checkAnswered(request);
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
                if (server->counts.workAfterDrain > 0)
                    fail(Promise::Drain, absl::StrCat(serverName, " got ", server->counts.workAfterDrain, " calls after its drain"));
            }
            for (const auto& [hostName, host] : bed_.hosts) {
                if (host.configWentBack)
                    fail(Promise::ConfigNeverReverts, hostName + " went back to an older version");
            }
            return std::move(violations_);
        }

    private:
        void fail(Promise promise, std::string detail) { violations_.push_back({ promise, std::move(detail) }); }

        void checkAnswered(const TrackedRequest& request)
        {
            if (request.answers > 1)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " was answered ", request.answers, " times"));
            if (request.hostFailed)
                return;
            const bool isOver = bed_.now() > request.sentAt + request.deadline + kAnswerSlack;
            if (request.answers == 0 && isOver)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " got no answer in time"));
            if (request.answers > 0 && request.answeredAt > request.sentAt + request.deadline + kAnswerSlack)
                fail(Promise::OwnAnswer, absl::StrCat("request ", request.tag, " was answered late"));
        }

        void checkSubmit(const TrackedRequest& request)
        {
            const uint64_t runs = bed_.runsOf(request.key);
            const Outcome outcome = request.answer.outcome;
            if (outcome == Outcome::Refused && ranBefore(request))
                fail(Promise::RefusedNotRun, absl::StrCat(request.key, " was refused with ", static_cast<int>(request.answer.code), " and ran; ", history(request.key)));
            if (outcome == Outcome::Done && runs != 1)
                fail(Promise::AtMostOnce, absl::StrCat(request.key, " is done and ran ", runs, " times"));
        }

        /// True when the refused submission itself, or one of its key that was sent before it, ran.
        /// A run that the caller asked for later, after the refusal, does not count.
        bool ranBefore(const TrackedRequest& refused) const
        {
            for (const auto& [serverName, server] : bed_.servers) {
                const auto it = server->runRequests.find(refused.key);
                if (it == server->runRequests.end())
                    continue;
                for (const RequestId& id : it->second) {
                    if (sentAtOf(refused.key, id) <= refused.sentAt)
                        return true;
                }
            }
            return false;
        }

        /// All submissions of a key, for a failure's message.
        std::string history(const std::string& key) const
        {
            std::string text;
            for (const auto& [tag, request] : bed_.requests()) {
                if (request.key != key)
                    continue;
                absl::StrAppend(&text, "[#", tag, " at ", request.host, ", ", (request.sentAt.time_since_epoch() / Millis(1)) % 1000000, " ms, answers ", request.answers);
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

        /// When the submission that ran under the id was sent. One that was never answered does
        /// not show its id: then the earliest of its key counts.
        TimePoint sentAtOf(const std::string& key, const RequestId& id) const
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
                fail(Promise::TrueCoverage, absl::StrCat("request ", request.tag, " counts ", covered, " + ", answer.missing.size(), " of ", answer.shardsTotal));
            for (const ShardBody& shard : answer.bodies)
                checkBody(request, shard);
        }

        void checkBody(const TrackedRequest& request, const ShardBody& shard)
        {
            const auto rows = nlohmann::json::parse(*shard.body, nullptr, false);
            if (rows.is_discarded() || !rows.is_array() || rows.empty()) {
                fail(Promise::TrueCoverage, absl::StrCat("shard ", shard.shard, " is covered by a body without rows"));
                return;
            }
            for (size_t i = 0; i < rows.size(); ++i) {
                const auto id = rows[i]["id"].get<std::string>();
                const std::string prefix = absl::StrCat("s", shard.shard, "-", i, "@");
                if (id.compare(0, prefix.size(), prefix) != 0)
                    fail(Promise::TrueCoverage, absl::StrCat("shard ", shard.shard, " is covered by row ", id));
                if (id != absl::StrCat(prefix, request.answer.snapshot))
                    fail(Promise::OneSnapshot, absl::StrCat("row ", id, " in an answer of snapshot ", request.answer.snapshot));
                const double score = static_cast<double>(bodyChecksum(absl::StrCat(request.query, shard.shard * 100 + i)) % 10000) / 10000;
                if (rows[i]["score"].get<double>() != score)
                    fail(Promise::OwnAnswer, absl::StrCat("row ", id, " answers another query than ", request.query));
            }
        }

        const Bed& bed_;
        std::vector<Violation> violations_;
    };

} // namespace

std::string_view name(Promise promise)
{
    return kNames[static_cast<size_t>(promise)];
}

std::vector<Violation> checkPromises(const Bed& bed)
{
    return Checker(bed).run();
}

} // namespace limpettrestle::tests
