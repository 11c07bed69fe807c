#include "config_chain.h"

#include "../config.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    constexpr size_t kHistoryEntries = 256;
    /// Patches kept for peers that are a few versions behind.
    constexpr size_t kRecentPatches = 32;

    ConfigChangeResult refuse(ResultCode code, std::string detail)
    {
        ConfigChangeResult verdict;
        verdict.code = code;
        verdict.detail = std::move(detail);
        return verdict;
    }

    /// Checks a finished document and fills in its stamp.
    ConfigChangeResult judgeDocument(std::string text, uint64_t version)
    {
        ConfigProblem problem;
        const ConfigStamp stamp { version, configDigest(text) };
        if (!parseFleetConfig(stamp, makeBody(text), problem))
            return refuse(problem.code, absl::StrCat(problem.place, ": expected ", problem.expected));
        ConfigChangeResult verdict;
        verdict.stamp = stamp;
        verdict.text = std::move(text);
        return verdict;
    }

    ConfigChangeResult judgeCheckpoint(ConfigStamp current, const ConfigRecord& record)
    {
        if (record.version <= current.version)
            return refuse(ResultCode::BaseSuperseded, absl::StrCat("checkpoint ", record.version, " is not newer than version ", current.version));
        const json document = json::parse(record.text, nullptr, false);
        if (document.is_discarded())
            return refuse(ResultCode::DocumentInvalid, "checkpoint is not JSON");
        return judgeDocument(document.dump(), record.version);
    }

    ConfigChangeResult judgePatch(ConfigStamp current, std::string_view currentText, const ConfigRecord& record)
    {
        if (record.base.version < current.version)
            return refuse(ResultCode::BaseSuperseded, absl::StrCat("base ", record.base.version, ", newest is ", current.version));
        if (record.base.version > current.version)
            return refuse(ResultCode::VersionGap, absl::StrCat("base ", record.base.version, ", newest known is ", current.version));
        if (record.base.digest != current.digest)
            return refuse(ResultCode::BaseDigestMismatch, absl::StrCat("base ", record.base.version, " has another digest here"));
        const json patch = json::parse(record.text, nullptr, false);
        if (patch.is_discarded() || !patch.is_array())
            return refuse(ResultCode::PatchDoesNotApply, "the patch is not a JSON list of operations");
        json document = json::parse(currentText, nullptr, false);
        // The library reports a failed operation only by exception; it ends here.
        try {
            document = document.patch(patch);
        } catch (const json::exception& error) {
            return refuse(ResultCode::PatchDoesNotApply, error.what());
        }
        return judgeDocument(document.dump(), current.version + 1);
    }

} // namespace

ConfigChangeResult evaluateConfigChange(ConfigStamp current, std::string_view currentText, const ConfigRecord& record)
{
    if (record.text.size() > config::kMaxDocumentBytes)
        return refuse(ResultCode::DocumentTooLarge, "the change itself exceeds the platform's value limit");
    if (record.checkpoint)
        return judgeCheckpoint(current, record);
    return judgePatch(current, currentText, record);
}

ConfigChain::Step ConfigChain::applyRecord(const ConfigRecord& record)
{
    Step step;
    if (record.revision <= revision_)
        return step;
    static const std::string kNoText;
    const std::string& text = current_ ? *current_->text : kNoText;
    const ConfigChangeResult verdict = evaluateConfigChange(stamp(), text, record);
    revision_ = record.revision;
    step.wasNews = true;
    step.entry = { record.change, record.revision, verdict.code, verdict.stamp, verdict.detail };
    if (verdict.code == ResultCode::Ok) {
        adopt(record, verdict);
        step.changed = true;
    }
    const bool isRepeat = verdict.code == ResultCode::BaseSuperseded && knows(record.change);
    if (isRepeat)
        step.wasNews = false;
    else
        remember(step.entry);
    return step;
}

ConfigChain::Step ConfigChain::takeNews(const ConfigNews& news)
{
    Step step;
    if (news.result.version <= stamp().version)
        return step;
    step.wasNews = true;
    if (!current_ || news.record.checkpoint || news.record.base != stamp())
        return step;
    const ConfigChangeResult verdict = evaluateConfigChange(stamp(), *current_->text, news.record);
    if (verdict.code != ResultCode::Ok || verdict.stamp != news.result)
        return step;
    adopt(news.record, verdict);
    revision_ = std::max(revision_, news.record.revision);
    step.changed = true;
    step.entry = { news.record.change, news.record.revision, ResultCode::Ok, verdict.stamp, "" };
    remember(step.entry);
    return step;
}

std::vector<ConfigNews> ConfigChain::newsSince(ConfigStamp from) const
{
    std::vector<ConfigNews> news;
    for (const ConfigNews& entry : recent_) {
        const ConfigStamp reached = news.empty() ? from : news.back().result;
        if (!entry.record.checkpoint && entry.record.base == reached)
            news.push_back(entry);
    }
    if (news.empty() || news.back().result != stamp())
        return {};
    return news;
}

const ConfigNews* ConfigChain::newest() const
{
    const bool isCurrent = !recent_.empty() && recent_.back().result == stamp();
    return isCurrent ? &recent_.back() : nullptr;
}

void ConfigChain::adopt(const ConfigRecord& record, const ConfigChangeResult& verdict)
{
    ConfigProblem problem;
    current_ = parseFleetConfig(verdict.stamp, makeBody(verdict.text), problem);
    if (recent_.size() == kRecentPatches)
        recent_.erase(recent_.begin());
    recent_.push_back({ record, verdict.stamp });
}

bool ConfigChain::notePlatformRevision(uint64_t revision)
{
    if (revision >= revision_)
        return false;
    revision_ = 0;
    return true;
}

ConfigChain::Step ConfigChain::takeDocument(ConfigStamp stamp, Body text, uint64_t platformRevision)
{
    Step step;
    const ConfigStamp have = this->stamp();
    if (stamp.version < have.version || stamp == have)
        return step;
    step.wasNews = true;
    step.entry = { "from a peer", platformRevision, ResultCode::Ok, stamp, "" };
    if (stamp.version == have.version) {
        step.entry.code = ResultCode::VersionForked;
        step.entry.detail = absl::StrCat("version ", stamp.version, " has another digest at a peer");
        return step;
    }
    ConfigProblem problem;
    FleetConfigPtr parsed;
    if (configDigest(*text) != stamp.digest)
        problem = { ResultCode::ChecksumMismatch, "", "the digest that was announced" };
    else
        parsed = parseFleetConfig(stamp, text, problem);
    if (!parsed) {
        step.entry.code = problem.code;
        step.entry.detail = absl::StrCat(problem.place, ": expected ", problem.expected);
        return step;
    }
    current_ = std::move(parsed);
    revision_ = std::max(revision_, platformRevision);
    step.changed = true;
    remember(step.entry);
    return step;
}

bool ConfigChain::knows(const std::string& change) const
{
    for (const ConfigHistoryEntry& entry : history_) {
        if (entry.change == change)
            return true;
    }
    return false;
}

void ConfigChain::remember(const ConfigHistoryEntry& entry)
{
    if (history_.size() == kHistoryEntries)
        history_.erase(history_.begin());
    history_.push_back(entry);
}

} // namespace limpettrestle
