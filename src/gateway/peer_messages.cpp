#include "peer_messages.h"

#include "../bounded_json.h"
#include "../net/http_message.h"
#include "../process/replica_entry.h"
#include "../stated_time.h"
#include "../version/route_table.h"
#include "config_messages.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    constexpr std::string_view kChangesPath = "/changes?";
    constexpr const char* kConfigField = "config";
    /// Limit on the time for which a reply is held.
    constexpr int64_t kMaxHoldMs = 10000;
    /// Bytes around the name and the value of a field that is appended to an object.
    constexpr size_t kFieldFrameBytes = 8;
    /// Limit on zones in a notice.
    constexpr size_t kMaxNoticeZones = 64;
    /// Index of the features in an entry of the list of instances; earlier builds do not send them.
    constexpr size_t kInstanceFeaturesField = 4;

    json encodeEntry(const ReplicaEntry& entry)
    {
        return json::array({ entry.id, entry.service, entry.host, entry.port, entry.zone, entry.slots, static_cast<int>(entry.state), entry.warmupLeft.count(), entry.startedAt, entry.sequence });
    }

    /// Returns no value when the entry cannot be used, such as one that an earlier build has accepted.
    std::optional<ReplicaEntry> decodeEntry(const json& value)
    {
        const std::optional<int> port = integerOf<int>(value.at(3));
        const std::optional<int> state = integerOf<int>(value.at(6));
        const std::optional<uint32_t> slots = integerOf<uint32_t>(value.at(5));
        const std::optional<int64_t> warmupMs = integerOf<int64_t>(value.at(7));
        const std::optional<int64_t> startedAt = integerOf<int64_t>(value.at(8));
        const std::optional<uint64_t> sequence = integerOf<uint64_t>(value.at(9));
        if (!port || !state || !slots || !warmupMs || !startedAt || !sequence)
            return std::nullopt;
        ReplicaEntry entry;
        entry.id = value.at(0).get<std::string>();
        entry.service = value.at(1).get<std::string>();
        entry.host = value.at(2).get<std::string>();
        entry.port = *port;
        entry.zone = value.at(4).get<std::string>();
        entry.slots = *slots;
        entry.state = *state == 0 ? ReplicaState::Ready : ReplicaState::Draining;
        entry.warmupLeft = Millis(*warmupMs);
        entry.startedAt = *startedAt;
        entry.sequence = *sequence;
        if (!findEntryProblem(entry).empty())
            return std::nullopt;
        return entry;
    }

    /// Adds an entry to the reply, unless it cannot be used: the others are no worse for it.
    void addEntry(const json& value, ChangesReply& reply)
    {
        if (std::optional<ReplicaEntry> entry = decodeEntry(value))
            reply.written.push_back(std::move(*entry));
    }

    json encodeInstances(const std::vector<InstanceInfo>& instances)
    {
        json list = json::array();
        for (const InstanceInfo& instance : instances)
            list.push_back(json::array({ instance.name, instance.zone, instance.host, instance.port, instance.features }));
        return list;
    }

    std::vector<InstanceInfo> decodeInstances(const json& list)
    {
        std::vector<InstanceInfo> instances;
        for (const json& entry : list) {
            InstanceInfo& instance = instances.emplace_back(InstanceInfo { entry.at(0).get<std::string>(), entry.at(1).get<std::string>(), entry.at(2).get<std::string>(), requireInteger<uint16_t>(entry.at(3)) });
            if (entry.size() > kInstanceFeaturesField)
                instance.features = requireInteger<uint32_t>(entry.at(kInstanceFeaturesField));
        }
        return instances;
    }

    /// Parses "host:port". Returns false when the text is malformed.
    bool parseAddress(std::string_view text, InstanceInfo& out)
    {
        const size_t colon = text.rfind(':');
        uint16_t port = 0;
        if (colon == std::string_view::npos || !parseNumber(text.substr(colon + 1), port))
            return false;
        out.port = port;
        out.host = text.substr(0, colon);
        return true;
    }

    /// Appends a field to the text of an object that has others.
    void appendField(std::string& object, std::string_view name, std::string_view value)
    {
        object.pop_back();
        object.reserve(object.size() + name.size() + value.size() + kFieldFrameBytes);
        fmt::format_to(std::back_inserter(object), ",\"{}\":", name);
        object.append(value);
        object.push_back('}');
    }

    /// Calls `visit(name, value)` for each "name=value" field of a query.
    template <typename Visitor>
    void forEachField(std::string_view query, Visitor visit)
    {
        while (!query.empty()) {
            const size_t end = query.find('&');
            const std::string_view field = query.substr(0, end);
            const size_t equals = field.find('=');
            if (equals != std::string_view::npos)
                visit(field.substr(0, equals), field.substr(equals + 1));
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        }
    }

} // namespace

std::string encode(const ReachNotice& notice)
{
    const json root = { { "sender", notice.sender }, { "zones", notice.zones } };
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ReachNotice> decodeNotice(const std::string& text)
{
    // nlohmann::json throws when a field is missing or has the wrong type.
    try {
        const json root = parseBoundedJson(text);
        ReachNotice notice { root.at("sender").get<std::string>(), root.at("zones").get<std::vector<std::string>>() };
        const auto isTooLong = [](const std::string& name) { return name.size() > kMaxNameBytes; };
        if (notice.zones.size() > kMaxNoticeZones || isTooLong(notice.sender) || std::any_of(notice.zones.begin(), notice.zones.end(), isTooLong))
            return std::nullopt;
        return notice;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encodeTarget(const ChangesRequest& request)
{
    std::string target = fmt::format("{}run={}&after={}&hold={}&age={}&config={}&era={}&instances={}", kChangesPath, request.after.run, request.after.number, request.hold.count(),
        request.acceptableAge.count(), request.configVersion, request.era, request.instancesDigest);
    if (request.quarantineDigest)
        fmt::format_to(std::back_inserter(target), "&quarantine={}", *request.quarantineDigest);
    if (request.factsDigest)
        fmt::format_to(std::back_inserter(target), "&facts={}", *request.factsDigest);
    const InstanceInfo& follower = request.follower;
    if (!follower.name.empty())
        fmt::format_to(std::back_inserter(target), "&name={}&zone={}&address={}:{}", follower.name, follower.zone, follower.host, follower.port);
    if (follower.features != 0)
        fmt::format_to(std::back_inserter(target), "&features={}", follower.features);
    return target;
}

std::optional<ChangesRequest> decodeTarget(const std::string& target)
{
    if (!target.starts_with(kChangesPath))
        return std::nullopt;
    ChangesRequest request;
    bool isValid = true;
    forEachField(std::string_view(target).substr(kChangesPath.size()), [&](std::string_view name, std::string_view value) {
        int64_t hold = 0;
        int64_t age = 0;
        if (name == "run") {
            isValid &= parseNumber(value, request.after.run);
        } else if (name == "after") {
            isValid &= parseNumber(value, request.after.number);
        } else if (name == "hold") {
            isValid &= parseNumber(value, hold) && hold >= 0;
            request.hold = Millis(std::min(hold, kMaxHoldMs));
        } else if (name == "age") {
            isValid &= parseNumber(value, age);
            request.acceptableAge = std::min<Millis>(Millis(age), ChangesRequest::kAnyAge);
        } else if (name == "config") {
            isValid &= parseNumber(value, request.configVersion);
        } else if (name == "era") {
            isValid &= parseNumber(value, request.era);
        } else if (name == "name") {
            isValid &= value.size() <= kMaxNameBytes;
            request.follower.name = value;
        } else if (name == "zone") {
            isValid &= value.size() <= kMaxNameBytes;
            request.follower.zone = value;
        } else if (name == "address") {
            isValid &= parseAddress(value, request.follower);
        } else if (name == "features") {
            isValid &= parseNumber(value, request.follower.features);
        } else if (name == "instances") {
            isValid &= parseNumber(value, request.instancesDigest);
        } else if (name == "quarantine") {
            isValid &= parseNumber(value, request.quarantineDigest.emplace());
        } else if (name == "facts") {
            isValid &= parseNumber(value, request.factsDigest.emplace());
        }
    });
    if (!isValid)
        return std::nullopt;
    return request;
}

std::string encode(const ChangesReply& reply, std::string_view configText)
{
    json written = json::array();
    for (const ReplicaEntry& entry : reply.written)
        written.push_back(encodeEntry(entry));
    json root = { { "run", reply.upTo.run }, { "number", reply.upTo.number }, { "whole", reply.isFullSnapshot }, { "replicas", reply.includesReplicas }, { "era", reply.era }, { "age_ms", reply.age.count() },
        { "sender", reply.sender }, { "following", reply.following }, { "fleet", reply.fleet }, { "instances_digest", reply.instancesDigest }, { "written", written }, { "removed", reply.removed } };
    if (!reply.deferred.empty())
        root["deferred"] = reply.deferred;
    if (!reply.quarantines.empty())
        root["quarantines"] = encodeQuarantines(reply.quarantines);
    if (reply.factsDigest)
        root["facts_digest"] = *reply.factsDigest;
    if (!reply.facts.empty())
        root["facts"] = encodeFacts(reply.facts);
    if (reply.instances)
        root["instances"] = encodeInstances(*reply.instances);
    std::string text = root.dump(-1, ' ', false, json::error_handler_t::replace);
    if (reply.config)
        appendField(text, kConfigField, encodeConfig(*reply.config, ConfigForm::Plain));
    else if (!configText.empty())
        appendField(text, kConfigField, configText);
    return text;
}

std::optional<ChangesReply> decodeReply(const std::string& text)
{
    // nlohmann::json throws when a field is missing or has the wrong type.
    try {
        const json root = parseBoundedJson(text);
        ChangesReply reply;
        reply.upTo = { requireInteger<uint64_t>(root.at("run")), requireInteger<uint64_t>(root.at("number")) };
        reply.isFullSnapshot = root.at("whole").get<bool>();
        reply.includesReplicas = root.value("replicas", true);
        // Instances of earlier releases do not send this field.
        reply.era = root.contains("era") ? requireInteger<uint64_t>(root["era"]) : 0;
        reply.age = std::clamp<Millis>(Millis(requireInteger<int64_t>(root.at("age_ms"))), Millis(0), kMaxStatedTime);
        reply.sender = root.at("sender").get<std::string>();
        reply.following = requireInteger<uint32_t>(root.at("following"));
        reply.fleet = requireInteger<uint32_t>(root.at("fleet"));
        reply.instancesDigest = requireInteger<uint64_t>(root.at("instances_digest"));
        if (root.contains("instances"))
            reply.instances = decodeInstances(root["instances"]);
        if (root.contains("quarantines"))
            reply.quarantines = decodeQuarantines(root["quarantines"]);
        if (root.contains("facts_digest"))
            reply.factsDigest = requireInteger<uint64_t>(root["facts_digest"]);
        if (root.contains("facts"))
            reply.facts = decodeFacts(root["facts"]);
        for (const json& entry : root.at("written"))
            addEntry(entry, reply);
        reply.removed = root.at("removed").get<std::vector<std::string>>();
        reply.deferred = root.value("deferred", std::vector<std::string>());
        if (const auto config = root.find(kConfigField); config != root.end()) {
            reply.config = decodeConfig(*config);
            // An earlier build may have accepted what this one refuses; the replicas are followed nevertheless.
            if (!findRoutingProblem(*reply.config).empty())
                reply.config.reset();
        }
        return reply;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace limpettrestle
