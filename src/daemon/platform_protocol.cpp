#include "platform_protocol.h"

#include "../json_checks.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace limpettrestle::platform_protocol {

namespace {

    using nlohmann::json;

    bool parseHex(const std::string& text, uint64_t& out)
    {
        return absl::SimpleHexAtoi(text, &out);
    }

} // namespace

bool parsePage(const std::string& text, Page& page)
{
    const json root = json::parse(text, nullptr, false);
    if (root.is_discarded())
        return false;
    ObjectCheck check(root, "");
    check.require("revision").integer("revision", page.revision, 0, INT64_MAX);
    if (!check.ok() || !root.contains("entries") || !root["entries"].is_array())
        return false;
    for (const json& value : root["entries"]) {
        Entry entry;
        ObjectCheck entryCheck(value, "");
        entryCheck.require("key").text("key", entry.key);
        entryCheck.require("revision").integer("revision", entry.revision, 0, INT64_MAX);
        entryCheck.text("value", entry.value).boolean("deleted", entry.deleted);
        if (!entryCheck.ok())
            return false;
        page.entries.push_back(std::move(entry));
    }
    return true;
}

bool parseConfigRecord(const Entry& entry, ConfigRecord& record)
{
    const json root = json::parse(entry.value, nullptr, false);
    if (root.is_discarded())
        return false;
    std::string digest = "0";
    ObjectCheck check(root, "");
    check.allow({ "change", "base_version", "base_digest", "patch", "checkpoint", "version" });
    check.require("change").text("change", record.change);
    check.integer("base_version", record.base.version, 0, INT64_MAX);
    check.text("base_digest", digest);
    check.integer("version", record.version, 1, INT64_MAX);
    if (!check.ok() || !parseHex(digest, record.base.digest))
        return false;
    record.revision = entry.revision;
    record.checkpoint = root.contains("checkpoint");
    if (!record.checkpoint && !root.contains("patch"))
        return false;
    record.text = record.checkpoint ? root["checkpoint"].dump() : root["patch"].dump();
    return true;
}

std::string formatConfigRecord(const ConfigRecord& record)
{
    json root;
    root["change"] = record.change;
    if (record.checkpoint) {
        root["version"] = record.version;
        root["checkpoint"] = json::parse(record.text, nullptr, false);
    } else {
        root["base_version"] = record.base.version;
        root["base_digest"] = absl::StrFormat("%016x", record.base.digest);
        root["patch"] = json::parse(record.text, nullptr, false);
    }
    return root.dump();
}

bool parseMember(const Entry& entry, PlatformMember& member)
{
    const json root = json::parse(entry.value, nullptr, false);
    if (root.is_discarded())
        return false;
    std::string kind = "entry";
    std::string state = "live";
    ObjectCheck check(root, "");
    check.allow({ "address", "zone", "kind", "state", "incarnation" });
    check.require("address").text("address", member.address);
    check.require("zone").text("zone", member.zone);
    check.text("kind", kind).text("state", state);
    check.integer("incarnation", member.serverIncarnation, 0, INT64_MAX);
    if (!check.ok())
        return false;
    member.name = entry.key.substr(std::string_view(kMembersPrefix).size());
    member.backend = kind == "backend";
    member.leaving = state == "leaving";
    return true;
}

} // namespace limpettrestle::platform_protocol
