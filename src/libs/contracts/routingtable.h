#pragma once

#include "keyhasher.h"
#include "route.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace Contracts {

/// Lookup in one version of the routing document.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingDocument document);

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    const RoutingDocument &document() const { return document_; }
    Base::ConfigVersion version() const { return document_.version; }

    /// Returns the host's route with the longest matching prefix, or null. The host may include a
    /// port; the path must not include a query.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Chooses the service of a request on the route by the weights of its services; null if the
    /// sum of the weights is 0.
    const RoutedService *chooseService(const Route &route, std::uint64_t hash) const;
    const RoutedService *findService(const Base::ServiceId &id) const;

    bool needsKey(const Route &route) const { return !route.isPublic && !document_.teams.empty(); }
    /// Returns the team of the key, or null for unknown keys.
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
