#pragma once

#include "refusal.h"
#include "requesttraits.h"

#include <contracts/routingtable.h>

namespace Proxy {

/// What the routing table says about a request, as far as it was checked.
struct RequestRoute
{
    const Contracts::Route *route = nullptr;
    const Contracts::RoutedService *service = nullptr;
    /// The team of the key; null on routes that need none.
    const Contracts::RoutedTeam *team = nullptr;
    /// Set if the request cannot be served.
    std::optional<Refusal> refusal;
};

/// Finds the route, the service and the team of a request by its head. The result refers to the
/// table, which is null as long as no routing document is loaded.
RequestRoute findRoute(const Contracts::RoutingTable *table,
                       const RequestHead &head,
                       const RequestTraits &traits);

} // namespace Proxy
