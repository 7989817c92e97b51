#include "routingtable.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace Contracts {

namespace {

/// Returns the host name in lower case, without the port.
std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name;
}

} // namespace

RoutingTable::RoutingTable(RoutingDocument document)
    : document_(std::move(document))
{
    for (const Route &route : document_.routes) {
        byHost_[normalizedHost(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const RoutedService &service : document_.services) {
        services_.emplace(service.id, &service);
    }
    for (const RoutedTeam &team : document_.teams) {
        for (const Key &key : team.team.keys) {
            byKey_.emplace(key.hash, &team);
        }
    }
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = byHost_.find(normalizedHost(host));
    if (routes == byHost_.end()) {
        return nullptr;
    }
    const auto match
        = std::find_if(routes->second.begin(), routes->second.end(), [&](const Route *route) {
              return path.substr(0, route->pathPrefix.size()) == route->pathPrefix;
          });
    return match == routes->second.end() ? nullptr : *match;
}

const RoutedService *RoutingTable::chooseService(const Route &route, std::uint64_t hash) const
{
    const std::uint64_t total
        = std::accumulate(route.services.begin(),
                          route.services.end(),
                          std::uint64_t{0},
                          [](std::uint64_t sum, const auto &part) { return sum + part.weight; });
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t point = hash % total;
    for (const WeightedService &part : route.services) {
        if (point < part.weight) {
            return findService(part.service);
        }
        point -= part.weight;
    }
    return nullptr;
}

const RoutedService *RoutingTable::findService(const Base::ServiceId &id) const
{
    const auto service = services_.find(id);
    return service == services_.end() ? nullptr : service->second;
}

const RoutedTeam *RoutingTable::findTeamOfKey(std::string_view key) const
{
    // The lookup compares hashes, so that its timing reveals nothing about the key.
    const auto team = byKey_.find(hasher_.hash(key));
    return team == byKey_.end() ? nullptr : team->second;
}

} // namespace Contracts
