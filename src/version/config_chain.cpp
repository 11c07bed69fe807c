#include "config_chain.h"

#include "../config.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    constexpr size_t kMaxHistoryEntries = 256;
    /// Accepted changes that are kept for peers that are a few versions behind.
    constexpr size_t kMaxRecentChanges = 32;

    ConfigChangeResult refuse(ResultCode code, std::string detail)
    {
        ConfigChangeResult changeResult;
        changeResult.code = code;
        changeResult.detail = std::move(detail);
        return changeResult;
    }

    /// Validates a resulting document and computes its stamp.
    ConfigChangeResult evaluateDocument(std::string text, uint64_t version)
    {
        ConfigProblem problem;
        const ConfigStamp stamp { version, configDigest(text) };
        if (!parseFleetConfig(stamp, makeBody(text), problem))
            return refuse(problem.code, absl::StrCat(problem.pointer, ": expected ", problem.expected));
        ConfigChangeResult changeResult;
        changeResult.stamp = stamp;
        changeResult.text = std::move(text);
        return changeResult;
    }

    ConfigChangeResult evaluateCheckpoint(ConfigStamp current, const ConfigRecord& record)
    {
        if (record.version <= current.version)
            return refuse(ResultCode::BaseSuperseded, absl::StrCat("checkpoint ", record.version, " is not newer than version ", current.version));
        const json document = json::parse(record.text, nullptr, false);
        if (document.is_discarded())
            return refuse(ResultCode::DocumentInvalid, "checkpoint is not JSON");
        return evaluateDocument(document.dump(), record.version);
    }

    ConfigChangeResult evaluatePatch(ConfigStamp current, std::string_view currentText, const ConfigRecord& record)
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
        // The JSON library reports a failed operation only by throwing; the exception must not propagate.
        try {
            document = document.patch(patch);
        } catch (const json::exception& error) {
            return refuse(ResultCode::PatchDoesNotApply, error.what());
        }
        return evaluateDocument(document.dump(), current.version + 1);
    }

} // namespace

ConfigChangeResult evaluateConfigChange(ConfigStamp current, std::string_view currentText, const ConfigRecord& record)
{
    if (record.text.size() > config::kMaxDocumentBytes)
        return refuse(ResultCode::DocumentTooLarge, "the change itself exceeds the platform's value limit");
    if (record.checkpoint)
        return evaluateCheckpoint(current, record);
    return evaluatePatch(current, currentText, record);
}

ConfigChain::ApplyResult ConfigChain::applyRecord(const ConfigRecord& record)
{
    ApplyResult result;
    if (record.revision <= platformRevision_)
        return result;
    static const std::string kNoText;
    const std::string& text = current_ ? *current_->text : kNoText;
    const ConfigChangeResult changeResult = evaluateConfigChange(stamp(), text, record);
    platformRevision_ = record.revision;
    result.isNew = true;
    result.entry = { record.change, record.revision, changeResult.code, changeResult.stamp, changeResult.detail };
    if (changeResult.code == ResultCode::Ok) {
        activate(record, changeResult);
        result.changed = true;
    }
    const bool isDuplicate = changeResult.code == ResultCode::BaseSuperseded && hasHistoryOf(record.change);
    if (isDuplicate)
        result.isNew = false;
    else
        addToHistory(result.entry);
    return result;
}

ConfigChain::ApplyResult ConfigChain::applyPeerPatch(const ConfigNews& patch)
{
    ApplyResult result;
    if (patch.result.version <= stamp().version)
        return result;
    result.isNew = true;
    if (!current_ || patch.record.checkpoint || patch.record.base != stamp())
        return result;
    const ConfigChangeResult changeResult = evaluateConfigChange(stamp(), *current_->text, patch.record);
    if (changeResult.code != ResultCode::Ok || changeResult.stamp != patch.result)
        return result;
    activate(patch.record, changeResult);
    platformRevision_ = std::max(platformRevision_, patch.record.revision);
    result.changed = true;
    result.entry = { patch.record.change, patch.record.revision, ResultCode::Ok, changeResult.stamp, "" };
    addToHistory(result.entry);
    return result;
}

std::vector<ConfigNews> ConfigChain::patchesSince(ConfigStamp from) const
{
    std::vector<ConfigNews> patches;
    for (const ConfigNews& entry : recentChanges_) {
        const ConfigStamp reached = patches.empty() ? from : patches.back().result;
        if (!entry.record.checkpoint && entry.record.base == reached)
            patches.push_back(entry);
    }
    if (patches.empty() || patches.back().result != stamp())
        return {};
    return patches;
}

const ConfigNews* ConfigChain::latestChange() const
{
    const bool isCurrent = !recentChanges_.empty() && recentChanges_.back().result == stamp();
    return isCurrent ? &recentChanges_.back() : nullptr;
}

void ConfigChain::activate(const ConfigRecord& record, const ConfigChangeResult& changeResult)
{
    ConfigProblem problem;
    current_ = parseFleetConfig(changeResult.stamp, makeBody(changeResult.text), problem);
    if (recentChanges_.size() == kMaxRecentChanges)
        recentChanges_.erase(recentChanges_.begin());
    recentChanges_.push_back({ record, changeResult.stamp });
}

bool ConfigChain::observePlatformRevision(uint64_t revision)
{
    if (revision >= platformRevision_)
        return false;
    platformRevision_ = 0;
    return true;
}

ConfigChain::ApplyResult ConfigChain::applyDocument(ConfigStamp stamp, Body text, uint64_t platformRevision)
{
    ApplyResult result;
    const ConfigStamp activeStamp = this->stamp();
    if (stamp.version < activeStamp.version || stamp == activeStamp)
        return result;
    result.isNew = true;
    result.entry = { "from a peer", platformRevision, ResultCode::Ok, stamp, "" };
    if (stamp.version == activeStamp.version) {
        result.entry.code = ResultCode::VersionForked;
        result.entry.detail = absl::StrCat("version ", stamp.version, " has another digest at a peer");
        return result;
    }
    ConfigProblem problem;
    FleetConfigPtr parsed;
    if (configDigest(*text) != stamp.digest)
        problem = { ResultCode::ChecksumMismatch, "", "the digest that was announced" };
    else
        parsed = parseFleetConfig(stamp, text, problem);
    if (!parsed) {
        result.entry.code = problem.code;
        result.entry.detail = absl::StrCat(problem.pointer, ": expected ", problem.expected);
        return result;
    }
    current_ = std::move(parsed);
    platformRevision_ = std::max(platformRevision_, platformRevision);
    result.changed = true;
    addToHistory(result.entry);
    return result;
}

bool ConfigChain::hasHistoryOf(const std::string& change) const
{
    for (const ConfigHistoryEntry& entry : history_) {
        if (entry.change == change)
            return true;
    }
    return false;
}

void ConfigChain::addToHistory(const ConfigHistoryEntry& entry)
{
    if (history_.size() == kMaxHistoryEntries)
        history_.erase(history_.begin());
    history_.push_back(entry);
}

} // namespace limpettrestle
