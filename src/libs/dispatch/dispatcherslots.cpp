#include "dispatcherstate.h"

namespace Dispatch {

void Dispatcher::slotGranted(const SlotGrant &grant, Base::Instant now)
{
    if (!slots_.granted(grant)) {
        return;
    }
    const HeldSlot slot{grant.epoch, grant.slot, grant.team};
    Server *server = find(grant.server);
    std::optional<QueueKey> key;
    if (server && server->state.acceptsCalls()) {
        key = bestFor(*server, grant.team);
    }
    if (!key) {
        SlotReturn unused = slots_.returnSlot(grant.server, slot, Base::TeamId(), Base::Tokens());
        actions_.emplace_back(SendSlotReturn{std::move(unused)});
        return;
    }
    send(*find(key->id), *server, slot, now);
    flushDemand(now);
}

void Dispatcher::slotOwnerChanged(const Base::ServerId &server, Base::Instant now)
{
    slots_.ownerChanged(server, now);
    flushDemand(now);
}

// Late binding: requests slots from two servers and sends the call to the first that grants one.
// See Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling", SOSP 2013.
void Dispatcher::requestSlots(Call &call)
{
    Server *first = lessLoaded(call.service->servers, call.failedAt);
    if (!first) {
        return;
    }
    Server *second = lessLoaded(call.service->servers, first);
    for (Server *server : {first, second}) {
        if (server && server->slotDemand.add(call.key)) {
            call.slotServers.push_back(server);
            demandChanged_.insert(server->state.id());
        }
    }
}

void Dispatcher::flushDemand(Base::Instant now)
{
    if (!settings_.isBorrowingSlots) {
        return;
    }
    for (const Base::ServerId &id : std::exchange(demandChanged_, {})) {
        if (Server *server = find(id)) {
            slots_.setDemand(id, demandAt(*server), now);
        }
    }
    for (SlotRequest &request : slots_.takeRequests()) {
        actions_.emplace_back(SendSlotRequest{std::move(request)});
    }
}

std::vector<TeamDemand> Dispatcher::demandAt(const Server &server)
{
    std::map<Base::TeamId, TeamDemand> teams;
    const auto add = [&](const TeamCounter &team, std::size_t waiting, const QueueKey &first) {
        const Call &call = *find(first.id);
        const DispatchRequest &request = call.request;
        TeamDemand &demand = teams[request.team];
        if (demand.waiting == 0 || first.order < demand.firstKey) {
            const Base::Tokens cached = cachedAt(call, server);
            const double tokens = cost(request.promptTokens, cached, request.expectedOutput);
            demand.firstKey = first.order;
            demand.firstCost = Base::Tokens(static_cast<std::int64_t>(tokens));
        }
        demand.team = request.team;
        demand.weight = team.weight;
        demand.waiting += static_cast<std::uint32_t>(waiting);
    };
    server.assigned.forEachTeam(add);
    server.slotDemand.forEachTeam(add);
    std::vector<TeamDemand> demands;
    demands.reserve(teams.size());
    for (auto &[team, demand] : teams) {
        demands.push_back(std::move(demand));
    }
    return demands;
}

} // namespace Dispatch
