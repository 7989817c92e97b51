#pragma once

#include "keyhasher.h"
#include "route.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace Contracts {

/// Look-ups in one version of the routing document.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingDocument document);

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const RoutingDocument &document() const { return document_; }
    Base::ConfigVersion version() const { return document_.version; }

    /// The route with the longest prefix among those of the host; null if there is none.
    /// The host may carry a port, the path no query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The service for a request on the route, by the weights of its split.
    const RoutedService *chooseService(const Route &route, std::uint64_t hash) const;
    const RoutedService *findService(const Base::ServiceId &id) const;

    bool needsKey(const Route &route) const { return !route.isPublic && !document_.teams.empty(); }
    /// The team that holds the key; null for unknown keys.
    const RoutedTeam *findTeamOfKey(std::string_view key) const;

private:
    RoutingDocument document_;
    /// Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
    std::unordered_map<Base::ServiceId, const RoutedService *> services_;
    KeyHasher hasher_;
    std::map<KeyHash, const RoutedTeam *> byKey_;
};

} // namespace Contracts
