#include "route_table.h"

#include "../stated_time.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Limit on requests per second, above what any replica answers.
    constexpr double kMaxColdRate = 1e9;

    bool isStatable(Millis time) { return time >= Millis::zero() && time <= kMaxStatedTime; }

    /// Compares routes by their services, shards, home regions and latency target.
    struct TargetsEqual {
        bool operator()(const RouteSpec* a, const RouteSpec* b) const
        {
            const auto hasSameService = [](const ServiceShare& left, const ServiceShare& right) { return left.service == right.service; };
            return a->latencyTarget == b->latencyTarget && a->homeRegions == b->homeRegions && a->shards == b->shards
                && std::equal(a->shares.begin(), a->shares.end(), b->shares.begin(), b->shares.end(), hasSameService);
        }
    };

    struct TargetsHash {
        size_t operator()(const RouteSpec* route) const
        {
            const std::string_view service = route->shares.empty() ? std::string_view() : std::string_view(route->shares.front().service);
            return absl::HashOf(route->latencyTarget.count(), route->homeRegions, route->shards, service);
        }
    };

    std::string findRouteProblem(const RouteSpec& route)
    {
        if (route.host.empty())
            return "the host is missing";
        if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
            return "the prefix must begin and end with a slash";
        if (route.shares.empty() == route.shards.empty())
            return "exactly one of services and shards is required";
        if (route.timeout <= Millis::zero())
            return "the timeout must be positive";
        if (!isStatable(route.timeout) || !isStatable(route.latencyTarget))
            return "a time is out of range";
        if (route.maxAttempts == 0)
            return "at least one attempt is required";
        if (!route.shards.empty() && route.repeat != RepeatPolicy::Idempotent)
            return "a search over shards must be idempotent";
        if (route.minCoverage < 0 || route.minCoverage > 1)
            return "the minimum coverage must be between 0 and 1";
        uint64_t totalWeight = 0;
        for (const ServiceShare& share : route.shares)
            totalWeight += share.weight;
        if (!route.shares.empty() && totalWeight == 0)
            return "all weights are zero";
        return "";
    }

} // namespace

RouteTable::RouteTable(RoutingDocument document)
    : document_(std::move(document))
{
    for (const RouteSpec& route : document_.routes)
        byHost_[route.host].push_back(&route);
    for (auto& [host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const RouteSpec* a, const RouteSpec* b) { return a->prefix.size() > b->prefix.size(); });
    }
    for (const ServiceSpec& service : document_.services)
        maxConnections_[service.name] = service.maxConnections;
    groupRoutes();
    indexHomeRegions();
}

void RouteTable::groupRoutes()
{
    absl::flat_hash_map<const RouteSpec*, size_t, TargetsHash, TargetsEqual> groupOf;
    for (const RouteSpec& route : document_.routes) {
        const auto [entry, isNew] = groupOf.try_emplace(&route, groups_.size());
        if (isNew)
            groups_.emplace_back();
        groups_[entry->second].push_back(&route);
    }
}

void RouteTable::indexHomeRegions()
{
    const auto addRoute = [this](const std::string& service, const RouteSpec& route) {
        std::vector<std::vector<std::string>>& lists = homeRegions_[service];
        if (std::find(lists.begin(), lists.end(), route.homeRegions) == lists.end())
            lists.push_back(route.homeRegions);
    };
    for (const std::vector<const RouteSpec*>& group : groups_) {
        const RouteSpec& route = *group.front();
        for (const ServiceShare& share : route.shares)
            addRoute(share.service, route);
        for (const std::string& shard : route.shards)
            addRoute(shard, route);
    }
    absl::erase_if(homeRegions_, [](const auto& entry) { return entry.second.size() == 1 && entry.second.front().empty(); });
}

const std::vector<std::vector<std::string>>& RouteTable::homeRegionsOf(const std::string& service) const
{
    static const std::vector<std::vector<std::string>> kNone;
    const auto found = homeRegions_.find(service);
    return found != homeRegions_.end() ? found->second : kNone;
}

const RouteSpec* RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto found = byHost_.find(canonicalHost(host));
    if (found == byHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const RouteSpec* route : found->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

uint32_t RouteTable::maxConnections(const std::string& service) const
{
    const auto found = maxConnections_.find(service);
    return found == maxConnections_.end() ? 0 : found->second;
}

std::string canonicalHost(std::string_view host)
{
    const size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string findRoutingProblem(const RoutingDocument& document)
{
    for (const RouteSpec& route : document.routes) {
        std::string problem = findRouteProblem(route);
        if (!problem.empty())
            return fmt::format("route {}: {}", route.name, problem);
    }
    for (const ServiceSpec& service : document.services) {
        if (!isStatable(service.warmup) || !(service.coldRate >= 0 && service.coldRate <= kMaxColdRate))
            return fmt::format("service {}: the warm-up time or the cold rate is out of range", service.name);
    }
    if (!isStatable(document.limits.headerTimeout) || !isStatable(document.limits.idleTimeout))
        return "limits: a time is out of range";
    return "";
}

} // namespace limpettrestle
