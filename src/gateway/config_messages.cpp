#include "config_messages.h"

#include "../bounded_json.h"

#include <absl/container/flat_hash_map.h>
#include <tuple>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Index of the warm-up time of a service, which its cold rate follows; earlier builds send neither.
    constexpr size_t kServiceWarmupField = 2;

    /// The fields that routes share in the form `ConfigForm::Shared`: all but name, host and prefix.
    auto sharedFieldsOf(const RouteSpec& route)
    {
        return std::tie(route.repeat, route.timeout, route.latencyTarget, route.priority, route.maxAttempts, route.shares, route.shards, route.topRecords, route.minCoverage, route.homeRegions);
    }

    struct SharedFieldsEqual {
        bool operator()(const RouteSpec* a, const RouteSpec* b) const { return sharedFieldsOf(*a) == sharedFieldsOf(*b); }
    };

    struct SharedFieldsHash {
        size_t operator()(const RouteSpec* route) const
        {
            const std::string_view service = route->shares.empty() ? std::string_view() : std::string_view(route->shares.front().service);
            return absl::HashOf(route->timeout.count(), route->latencyTarget.count(), route->priority, route->shards, service);
        }
    };

    json encodeSharedFields(const RouteSpec& route)
    {
        json shares = json::array();
        for (const ServiceShare& share : route.shares)
            shares.push_back(json::array({ share.service, share.weight }));
        return { { "once", route.repeat == RepeatPolicy::AtMostOnce }, { "timeout", route.timeout.count() }, { "target", route.latencyTarget.count() }, { "priority", route.priority },
            { "attempts", route.maxAttempts }, { "shares", shares }, { "shards", route.shards }, { "top", route.topRecords }, { "coverage", route.minCoverage }, { "homes", route.homeRegions } };
    }

    void decodeSharedFields(const json& value, RouteSpec& route)
    {
        route.repeat = value.at("once").get<bool>() ? RepeatPolicy::AtMostOnce : RepeatPolicy::Idempotent;
        route.timeout = Millis(requireInteger<int64_t>(value.at("timeout")));
        route.latencyTarget = Millis(requireInteger<int64_t>(value.at("target")));
        route.priority = requireInteger<uint32_t>(value.at("priority"));
        route.maxAttempts = requireInteger<uint32_t>(value.at("attempts"));
        for (const json& share : value.at("shares"))
            route.shares.push_back({ share.at(0).get<std::string>(), requireInteger<uint32_t>(share.at(1)) });
        route.shards = value.at("shards").get<std::vector<std::string>>();
        route.topRecords = requireInteger<uint32_t>(value.at("top"));
        route.minCoverage = value.at("coverage").get<double>();
        // Earlier builds do not send this field.
        route.homeRegions = value.value("homes", std::vector<std::string>());
    }

    void encodePlainRoutes(const std::vector<RouteSpec>& routes, json& config)
    {
        json& list = config["routes"] = json::array();
        for (const RouteSpec& route : routes) {
            json& entry = list.emplace_back(encodeSharedFields(route));
            entry["name"] = route.name;
            entry["host"] = route.host;
            entry["prefix"] = route.prefix;
        }
    }

    void encodeSharedRoutes(const std::vector<RouteSpec>& routes, json& config)
    {
        json fields = json::array();
        json list = json::array();
        absl::flat_hash_map<const RouteSpec*, size_t, SharedFieldsHash, SharedFieldsEqual> indices;
        for (const RouteSpec& route : routes) {
            const auto [entry, isNew] = indices.try_emplace(&route, indices.size());
            if (isNew)
                fields.push_back(encodeSharedFields(route));
            list.push_back(json::array({ route.name, route.host, route.prefix, entry->second }));
        }
        config["route_fields"] = std::move(fields);
        config["routes"] = std::move(list);
    }

    std::vector<RouteSpec> decodePlainRoutes(const json& list)
    {
        std::vector<RouteSpec> routes;
        for (const json& value : list) {
            RouteSpec& route = routes.emplace_back();
            decodeSharedFields(value, route);
            route.name = value.at("name").get<std::string>();
            route.host = value.at("host").get<std::string>();
            route.prefix = value.at("prefix").get<std::string>();
        }
        return routes;
    }

    std::vector<RouteSpec> decodeSharedRoutes(const json& list, const json& fields)
    {
        std::vector<RouteSpec> shared;
        for (const json& value : fields)
            decodeSharedFields(value, shared.emplace_back());
        std::vector<RouteSpec> routes;
        routes.reserve(list.size());
        for (const json& value : list) {
            const auto index = requireInteger<size_t>(value.at(3));
            // Throws like all other malformed values when the index is out of range.
            static_cast<void>(fields.at(index));
            RouteSpec& route = routes.emplace_back(shared[index]);
            route.name = value.at(0).get<std::string>();
            route.host = value.at(1).get<std::string>();
            route.prefix = value.at(2).get<std::string>();
        }
        return routes;
    }

    ServiceSpec decodeService(const json& value)
    {
        ServiceSpec service { value.at(0).get<std::string>(), requireInteger<uint32_t>(value.at(1)) };
        if (value.size() > kServiceWarmupField) {
            service.warmup = Millis(requireInteger<int64_t>(value.at(kServiceWarmupField)));
            service.coldRate = value.at(kServiceWarmupField + 1).get<double>();
        }
        return service;
    }

} // namespace

ConfigForm configFormFor(const InstanceInfo& instance)
{
    return instance.supports(InstanceFeature::SharedRouteFields) ? ConfigForm::Shared : ConfigForm::Plain;
}

std::string encodeConfig(const RoutingDocument& document, ConfigForm form)
{
    json services = json::array();
    for (const ServiceSpec& service : document.services)
        services.push_back(json::array({ service.name, service.maxConnections, service.warmup.count(), service.coldRate }));
    const IngressLimits& limits = document.limits;
    json config = { { "version", document.version }, { "services", services },
        { "limits", json::array({ limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout.count(), limits.idleTimeout.count() }) } };
    if (form == ConfigForm::Shared)
        encodeSharedRoutes(document.routes, config);
    else
        encodePlainRoutes(document.routes, config);
    return config.dump(-1, ' ', false, json::error_handler_t::replace);
}

RoutingDocument decodeConfig(const json& value)
{
    RoutingDocument document;
    document.version = requireInteger<uint64_t>(value.at("version"));
    const auto fields = value.find("route_fields");
    document.routes = fields != value.end() ? decodeSharedRoutes(value.at("routes"), *fields) : decodePlainRoutes(value.at("routes"));
    for (const json& service : value.at("services"))
        document.services.push_back(decodeService(service));
    const json& limits = value.at("limits");
    document.limits = { requireInteger<uint32_t>(limits.at(0)), requireInteger<uint32_t>(limits.at(1)), Millis(requireInteger<int64_t>(limits.at(2))), Millis(requireInteger<int64_t>(limits.at(3))) };
    return document;
}

const std::string& ConfigTexts::textOf(const RoutingDocument& document, ConfigForm form)
{
    if (document.version != version_)
        texts_ = {};
    version_ = document.version;
    std::string& text = texts_[static_cast<size_t>(form)];
    if (text.empty()) {
        text = encodeConfig(document, form);
        ++encodings_;
    }
    return text;
}

} // namespace limpettrestle
