#include "dispatcherstate.h"

#include <algorithm>

namespace Dispatch {

void Dispatcher::serversChanged(const std::vector<ServerConfig> &servers, Base::Instant now)
{
    std::set<Base::ServerId> listed;
    for (const ServerConfig &config : servers) {
        listed.insert(config.server);
        Server *known = find(config.server);
        if (known && known->state.config().service == config.service) {
            updateServer(*known, config, now);
            continue;
        }
        if (known) {
            removeServer(*known, now);
        }
        addServer(config);
    }
    std::vector<Server *> gone;
    for (const auto &[id, server] : servers_) {
        if (!listed.contains(id)) {
            gone.push_back(server.get());
        }
    }
    for (Server *server : gone) {
        removeServer(*server, now);
    }
    purgeGoneServers();
    for (const auto &[id, service] : services_) {
        dispatchWaiting(*service, now);
    }
    flushDemand(now);
}

void Dispatcher::probed(const Base::ServerId &id, bool isUp, Base::Instant now)
{
    Server *server = find(id);
    if (!server || server->state.health() != ServerHealth::Probing) {
        return;
    }
    probes_.erase({*server->state.nextProbe(), id});
    server->state.probed(isUp, now);
    if (server->state.nextProbe()) {
        probes_.emplace(*server->state.nextProbe(), id);
    }
    updateFreeList(*server);
    dispatchWaiting(*server->service, now);
    flushDemand(now);
}

std::vector<ServerStatus> Dispatcher::servers() const
{
    std::vector<ServerStatus> list;
    for (const auto &[id, server] : servers_) {
        const BackendServer &state = server->state;
        list.push_back(ServerStatus{state.config(),
                                    state.health(),
                                    state.running(),
                                    state.load(),
                                    server->assigned.size()});
    }
    return list;
}

Dispatcher::Service &Dispatcher::serviceOf(const Base::ServiceId &id)
{
    std::unique_ptr<Service> &service = services_[id];
    if (!service) {
        const RetryBudget retries(settings_.retryRatio, settings_.retryReserve);
        service = std::make_unique<Service>(Service{id, {}, {}, {}, {}, {}, retries});
    }
    return *service;
}

Dispatcher::Server *Dispatcher::find(const Base::ServerId &id)
{
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : it->second.get();
}

void Dispatcher::addServer(const ServerConfig &config)
{
    Service &service = serviceOf(config.service);
    auto server = std::make_unique<Server>(Server{BackendServer(config, settings_), &service});
    service.servers.push_back(server.get());
    updateFreeList(*server);
    servers_[config.server] = std::move(server);
}

void Dispatcher::updateServer(Server &server, const ServerConfig &config, Base::Instant now)
{
    server.state.configured(config);
    updateFreeList(server);
    if (config.isLeaving) {
        reassignWaiting(server, now);
    }
}

void Dispatcher::removeServer(Server &server, Base::Instant now)
{
    ServerConfig config = server.state.config();
    config.isLeaving = true;
    updateServer(server, config, now);
    std::erase(server.service->servers, &server);
    if (server.state.nextProbe()) {
        probes_.erase({*server.state.nextProbe(), config.server});
    }
    memory_.serverGone(config.server);
    slots_.serverGone(config.server);
    demandChanged_.erase(config.server);
    // Running calls still refer to the server.
    server.isGone = true;
    const auto it = servers_.find(config.server);
    goneServers_.push_back(std::move(it->second));
    servers_.erase(it);
}

void Dispatcher::purgeGoneServers()
{
    const auto isUnused
        = [](const std::unique_ptr<Server> &server) { return server->state.running() == 0; };
    if (std::none_of(goneServers_.begin(), goneServers_.end(), isUnused)) {
        return;
    }
    for (const auto &[id, call] : calls_) {
        if (call->failedAt && call->failedAt->isGone) {
            call->failedAt = nullptr;
        }
    }
    std::erase_if(goneServers_, isUnused);
}

// Keeps the list of servers with a free slot up to date, so that placement does not scan all
// servers.
void Dispatcher::updateFreeList(Server &server)
{
    std::vector<Server *> &list = server.service->freeServers;
    const bool isFree
        = server.state.acceptsCalls() && server.state.hasFreeSlot() && !borrowsSlots(server);
    if (isFree == server.freeIndex.has_value()) {
        return;
    }
    if (isFree) {
        server.freeIndex = list.size();
        list.push_back(&server);
        return;
    }
    Server *last = list.back();
    list[*server.freeIndex] = last;
    last->freeIndex = server.freeIndex;
    list.pop_back();
    server.freeIndex.reset();
}

// Places the calls that wait for a server which no longer accepts calls on other servers.
void Dispatcher::reassignWaiting(Server &server, Base::Instant now)
{
    for (FairQueue *queue : {&server.assigned, &server.slotDemand}) {
        while (const std::optional<QueueKey> key = queue->best()) {
            Call &call = *find(key->id);
            dequeue(call);
            call.isWaiting = true;
            deadlines_.emplace(call.request.deadline, call.request.id);
            place(call, now);
        }
    }
}

bool Dispatcher::borrowsSlots(const Server &server) const
{
    return settings_.isBorrowingSlots && server.state.config().kind == ServiceKind::Model;
}

void Dispatcher::ejectIfAllowed(Server &server, Base::Instant now)
{
    const std::vector<Server *> &all = server.service->servers;
    const auto out = std::count_if(
        all.begin(), all.end(), [](const Server *other) { return !other->state.acceptsCalls(); });
    if (server.isGone
        || static_cast<double>(out + 1)
               > settings_.maximumEjectedShare * static_cast<double>(all.size())) {
        return;
    }
    server.state.eject(now);
    probes_.emplace(*server.state.nextProbe(), server.state.id());
    updateFreeList(server);
    reassignWaiting(server, now);
}

void Dispatcher::sendDueProbes(Base::Instant now)
{
    while (!probes_.empty() && probes_.begin()->first <= now) {
        const Base::ServerId id = probes_.begin()->second;
        probes_.erase(probes_.begin());
        Server &server = *find(id);
        if (server.state.health() == ServerHealth::Probing) {
            server.state.probed(false, now);
        } else {
            server.state.probeStarted(now);
            actions_.emplace_back(Probe{id});
        }
        probes_.emplace(*server.state.nextProbe(), id);
    }
}

} // namespace Dispatch
