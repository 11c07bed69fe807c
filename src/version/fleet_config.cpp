#include "fleet_config.h"

#include "../config.h"
#include "../json_checks.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    struct RoutingName {
        RoutingPolicy value;
        std::string_view name;
    };
    constexpr RoutingName kRoutingNames[] = {
        { RoutingPolicy::Owner, "owner" },
        { RoutingPolicy::Direct, "direct" },
        { RoutingPolicy::Adaptive, "adaptive" },
    };

    struct SelectionName {
        SelectionPolicy value;
        std::string_view name;
    };
    constexpr SelectionName kSelectionNames[] = {
        { SelectionPolicy::LeastLatency, "least_latency" },
        { SelectionPolicy::Weighted, "weighted" },
        { SelectionPolicy::Random, "random" },
    };

    template <typename Row, size_t N, typename Value>
    bool findByName(const Row (&table)[N], std::string_view text, Value& out)
    {
        for (const Row& row : table) {
            if (row.name == text) {
                out = row.value;
                return true;
            }
        }
        return false;
    }

    class DocumentReader {
    public:
        DocumentReader(FleetConfig& config, ConfigProblem& problem)
            : config_(config)
            , problem_(problem)
        {
        }

        bool read(const json& root)
        {
            ObjectCheck check(root, "");
            check.allow({ "services", "policy", "note" });
            if (!passes(check))
                return false;
            if (!root.contains("services") || !root["services"].is_object())
                return fail("/services", "an object of services by name");
            if (root.contains("policy") && !readPolicy(root["policy"]))
                return false;
            for (const auto& [serviceName, value] : root["services"].items()) {
                if (!readService(serviceName, value))
                    return false;
            }
            return indexReplicas();
        }

    private:
        bool fail(std::string pointer, std::string expected)
        {
            problem_.pointer = std::move(pointer);
            problem_.expected = std::move(expected);
            return false;
        }

        /// Returns true if the check found no problem; otherwise copies its problem.
        bool passes(const ObjectCheck& check)
        {
            if (check.ok())
                return true;
            return fail(check.pointer(), check.expected());
        }

        bool readPolicy(const json& value)
        {
            PolicyConfig& policy = config_.policy;
            ObjectCheck check(value, "/policy");
            check.allow({ "routing", "selection", "hedging", "hedge_budget", "retry_budget", "hedge_quantile",
                "attempt_timeout_ms", "admission", "priority_queue", "owner_group", "settle_ms" });
            std::string routing = "owner";
            std::string selection = "least_latency";
            check.text("routing", routing);
            check.text("selection", selection);
            check.boolean("hedging", policy.hedging);
            check.boolean("admission", policy.admission);
            check.boolean("priority_queue", policy.priorityQueue);
            check.number("hedge_budget", policy.hedgeBudget, 0.0, 1.0);
            check.number("retry_budget", policy.retryBudget, 0.0, 1.0);
            check.number("hedge_quantile", policy.hedgeQuantile, 0.5, 0.999);
            check.millis("attempt_timeout_ms", policy.attemptTimeout, 1, 60000);
            uint64_t group = policy.ownerGroup;
            check.integer("owner_group", group, 1, 64);
            policy.ownerGroup = static_cast<uint32_t>(group);
            check.millis("settle_ms", policy.settleTime, 0, 60000);
            if (!passes(check))
                return false;
            if (!findByName(kRoutingNames, routing, policy.routing))
                return fail("/policy/routing", "one of owner, direct, adaptive");
            if (!findByName(kSelectionNames, selection, policy.selection))
                return fail("/policy/selection", "one of least_latency, weighted, random");
            return true;
        }

        bool readService(const std::string& serviceName, const json& value)
        {
            const std::string pointer = absl::StrCat("/services/", serviceName);
            ServiceConfig service;
            service.name = serviceName;
            service.id = idFromName<ServiceId>(serviceName);
            ObjectCheck check(value, pointer);
            check.allow({ "class", "map_version", "snapshot", "slots", "connections", "shards", "note" });
            std::string priority = "normal";
            uint64_t slots = 0;
            uint64_t connections = 0;
            check.text("class", priority);
            check.require("map_version").integer("map_version", service.mapVersion, 1, INT64_MAX);
            check.require("snapshot").integer("snapshot", service.snapshot, 1, INT64_MAX);
            check.require("slots").integer("slots", slots, 1, 1024);
            check.require("connections").integer("connections", connections, 1, 65536);
            if (!passes(check))
                return false;
            const auto parsed = parsePriorityClass(priority);
            if (!parsed)
                return fail(pointer + "/class", "one of urgent, normal, deferrable");
            service.priority = *parsed;
            if (!value.contains("shards") || !value["shards"].is_array() || value["shards"].empty())
                return fail(pointer + "/shards", "a list of at least one shard");
            for (const json& shard : value["shards"]) {
                const std::string shardPointer = absl::StrCat(pointer, "/shards/", service.shards.size());
                if (!readShard(service, shard, shardPointer, slots, connections))
                    return false;
            }
            assignOwnerKeys(service);
            config_.services.push_back(std::move(service));
            return true;
        }

        /// Groups the service's replicas by zone and position in their shard's list, in shard order.
        /// Two replicas of one shard are never in the same group.
        void assignOwnerKeys(ServiceConfig& service) const
        {
            struct Group {
                ZoneId zone;
                size_t position = 0;
                uint32_t members = 0;
            };
            std::vector<Group> groups;
            for (ShardConfig& shard : service.shards) {
                for (size_t position = 0; position < shard.replicas.size(); ++position) {
                    ReplicaConfig& replica = shard.replicas[position];
                    auto group = std::find_if(groups.begin(), groups.end(), [&](const Group& g) { return g.zone == replica.zone && g.position == position; });
                    if (group == groups.end())
                        group = groups.insert(groups.end(), Group { replica.zone, position, 0 });
                    const uint32_t number = group->members++ / config_.policy.ownerGroup;
                    replica.ownerKey = hashName(absl::StrCat(service.name, "/", replica.zone.value, "/", position, "/", number));
                }
            }
        }

        bool readShard(ServiceConfig& service, const json& value, const std::string& pointer, uint64_t slots, uint64_t connections)
        {
            if (!value.is_array() || value.empty() || value.size() > 16)
                return fail(pointer, "a list of 1 to 16 replicas");
            ShardConfig shard;
            for (const json& entry : value) {
                ReplicaConfig replica;
                std::string zone;
                ObjectCheck check(entry, absl::StrCat(pointer, "/", shard.replicas.size()));
                check.allow({ "name", "address", "zone" });
                check.require("name").text("name", replica.name);
                check.require("address").text("address", replica.address);
                check.require("zone").text("zone", zone);
                if (!passes(check))
                    return false;
                replica.id = idFromName<ReplicaId>(replica.name);
                replica.zone = idFromName<ZoneId>(zone);
                replica.service = service.id;
                replica.shard = static_cast<uint32_t>(service.shards.size());
                replica.slots = static_cast<uint32_t>(slots);
                replica.connections = static_cast<uint32_t>(connections);
                shard.replicas.push_back(std::move(replica));
            }
            service.shards.push_back(std::move(shard));
            return true;
        }

        bool indexReplicas()
        {
            for (uint32_t i = 0; i < config_.services.size(); ++i) {
                const ServiceConfig& service = config_.services[i];
                config_.serviceIndex[service.id] = i;
                for (const ShardConfig& shard : service.shards) {
                    for (const ReplicaConfig& replica : shard.replicas) {
                        const bool isNew = config_.replicaIndex.emplace(replica.id, &replica).second;
                        if (!isNew)
                            return fail("/services/" + service.name, "replica names that occur once; twice: " + replica.name);
                    }
                }
            }
            return true;
        }

        FleetConfig& config_;
        ConfigProblem& problem_;
    };

} // namespace

const ServiceConfig* FleetConfig::findService(ServiceId id) const
{
    const auto it = serviceIndex.find(id);
    return it == serviceIndex.end() ? nullptr : &services[it->second];
}

const ReplicaConfig* FleetConfig::findReplica(ReplicaId id) const
{
    const auto it = replicaIndex.find(id);
    return it == replicaIndex.end() ? nullptr : it->second;
}

FleetConfigPtr parseFleetConfig(ConfigStamp stamp, Body text, ConfigProblem& problem)
{
    if (text->size() > config::kMaxDocumentBytes) {
        problem = { ResultCode::DocumentTooLarge, "", absl::StrCat("at most ", config::kMaxDocumentBytes, " bytes") };
        return nullptr;
    }
    const json root = json::parse(*text, nullptr, false);
    if (root.is_discarded()) {
        problem = { ResultCode::DocumentInvalid, "", "JSON" };
        return nullptr;
    }
    auto parsed = std::make_shared<FleetConfig>();
    parsed->stamp = stamp;
    parsed->text = std::move(text);
    if (!DocumentReader(*parsed, problem).read(root))
        return nullptr;
    return parsed;
}

std::optional<PriorityClass> parsePriorityClass(std::string_view text)
{
    for (int i = 0; i < kPriorityClassCount; ++i) {
        const auto value = static_cast<PriorityClass>(i);
        if (name(value) == text)
            return value;
    }
    return std::nullopt;
}

} // namespace limpettrestle
