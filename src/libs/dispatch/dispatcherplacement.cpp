#include "dispatcherstate.h"

#include <algorithm>

namespace Dispatch {

namespace {

/// Maximum number of calls assigned to other servers that an idle server examines for stealing.
constexpr std::size_t stealScan = 16;

Base::Error dispatchError(Base::ErrorCode code, std::string message)
{
    Base::Error error;
    error.code = code;
    error.step = Base::Step::Dispatch;
    error.message = std::move(message);
    return error;
}

std::optional<QueueKey> firstOf(const std::optional<QueueKey> &a, const std::optional<QueueKey> &b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return precedes(*a, *b) ? a : b;
}

} // namespace

std::optional<Base::Error> Dispatcher::queueError(const DispatchRequest &request,
                                                  const Service &service) const
{
    if (service.servers.empty()) {
        return dispatchError(Base::ErrorCode::Unavailable, "no backend server offers the service");
    }
    const TeamCounter *team = service.counters.find(request.team);
    const bool isTeamFull = team && team->active >= settings_.maximumWaitingPerTeam;
    if (service.waiting() >= settings_.maximumWaitingPerService || isTeamFull) {
        Base::Error error = dispatchError(Base::ErrorCode::Unavailable, "the queue is full");
        error.retryAfter = settings_.initialServiceTime;
        return error;
    }
    return std::nullopt;
}

void Dispatcher::admit(Call &call, Service &service, Base::Instant now)
{
    const DispatchRequest &request = call.request;
    const double seconds = Base::toSeconds(now.time_since_epoch());
    call.service = &service;
    call.isWaiting = true;
    call.key.id = request.id;
    if (settings_.order == OrderPolicy::FirstComeFirstServed) {
        call.key.team = service.counters.enter(Base::TeamId(), 1);
        call.key.order = seconds;
    } else {
        call.key.team = service.counters.enter(request.team, request.weight);
        call.key.order = static_cast<double>(request.attained.value())
                         + settings_.ageingTokensPerSecond * seconds;
    }
    deadlines_.emplace(request.deadline, request.id);
}

void Dispatcher::place(Call &call, Base::Instant now)
{
    if (settings_.placement == PlacementPolicy::RoundRobin) {
        if (Server *server = nextRoundRobin(*call.service)) {
            assign(call, *server, false, now);
            return;
        }
    }
    Base::Tokens cached;
    Server *holder = findCacheHolder(call, cached);
    if (holder && isWorthWaiting(call, *holder, cached)) {
        assign(call, *holder, true, now);
        return;
    }
    enqueueUnassigned(call, now);
}

void Dispatcher::assign(Call &call, Server &server, bool mayReconsider, Base::Instant now)
{
    call.assignedServer = &server;
    server.assigned.add(call.key);
    call.service->assigned.add(call.key);
    if (borrowsSlots(server)) {
        demandChanged_.insert(server.state.id());
    }
    if (mayReconsider) {
        scheduleReconsideration(call, now);
    }
    dispatchNext(server, now);
}

void Dispatcher::enqueueUnassigned(Call &call, Base::Instant now)
{
    call.service->unassigned.add(call.key);
    if (settings_.isBorrowingSlots && call.request.kind == ServiceKind::Model) {
        requestSlots(call);
        scheduleReconsideration(call, now);
    }
}

void Dispatcher::scheduleReconsideration(Call &call, Base::Instant now)
{
    call.reconsiderAt = now + settings_.reconsiderInterval;
    reconsiderations_.emplace(*call.reconsiderAt, call.request.id);
}

void Dispatcher::dequeue(Call &call)
{
    if (call.assignedServer) {
        call.assignedServer->assigned.remove(call.key);
        call.service->assigned.remove(call.key);
        if (borrowsSlots(*call.assignedServer)) {
            demandChanged_.insert(call.assignedServer->state.id());
        }
        call.assignedServer = nullptr;
    } else {
        call.service->unassigned.remove(call.key);
    }
    for (Server *server : call.slotServers) {
        server->slotDemand.remove(call.key);
        demandChanged_.insert(server->state.id());
    }
    call.slotServers.clear();
    if (call.reconsiderAt) {
        reconsiderations_.erase({*call.reconsiderAt, call.request.id});
        call.reconsiderAt.reset();
    }
    deadlines_.erase({call.request.deadline, call.request.id});
    call.isWaiting = false;
}

void Dispatcher::reconsider(Call &call, Base::Instant now)
{
    reconsiderations_.erase({*call.reconsiderAt, call.request.id});
    call.reconsiderAt.reset();
    Base::Tokens cached;
    Server *holder = findCacheHolder(call, cached);
    if (call.assignedServer && holder == call.assignedServer
        && isWorthWaiting(call, *holder, cached)) {
        scheduleReconsideration(call, now);
        return;
    }
    dequeue(call);
    call.isWaiting = true;
    deadlines_.emplace(call.request.deadline, call.request.id);
    Service &service = *call.service;
    place(call, now);
    dispatchWaiting(service, now);
}

void Dispatcher::refuseExpired(Base::Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Call &call = *find(deadlines_.begin()->second);
        dequeue(call);
        Base::Error error = dispatchError(Base::ErrorCode::Timeout,
                                          "no backend server was free before the deadline");
        if (call.failure) {
            error.ran = call.failure->ran;
        }
        refuse(call, std::move(error));
        removeCall(call.request.id);
    }
}

Dispatcher::Server *Dispatcher::findCacheHolder(const Call &call, Base::Tokens &cached)
{
    if (settings_.placement != PlacementPolicy::Affinity
        || call.request.kind != ServiceKind::Model) {
        return nullptr;
    }
    Server *best = nullptr;
    for (const CachedPrefix &place : memory_.holders(call.request.program)) {
        Server *server = find(place.server);
        if (!server || !server->state.acceptsCalls() || server->service != call.service
            || server == call.failedAt) {
            continue;
        }
        const Base::Tokens useful = std::min(place.tokens, call.request.prefixTokens);
        if (!best || useful > cached) {
            best = server;
            cached = useful;
        }
    }
    return best;
}

Base::Tokens Dispatcher::cachedAt(const Call &call, const Server &server) const
{
    for (const CachedPrefix &place : memory_.holders(call.request.program)) {
        if (place.server == server.state.id()) {
            return std::min(place.tokens, call.request.prefixTokens);
        }
    }
    return Base::Tokens();
}

// Waiting for the server with the cached prefix is worthwhile if it takes at most as long as
// waiting for another server and processing the prefix there again.
bool Dispatcher::isWorthWaiting(const Call &call, Server &holder, Base::Tokens cached)
{
    const Base::Duration wait = expectedWait(holder);
    if (wait == Base::Duration(0)) {
        return true;
    }
    const double seconds = static_cast<double>(cached.value()) / prefillPerSecond_;
    const Base::Duration recompute(static_cast<std::int64_t>(seconds * 1e6));
    const Server *other = lessLoaded(call.service->servers, &holder);
    return !other || wait <= recompute + expectedWait(*other);
}

Base::Duration Dispatcher::expectedWait(const Server &server) const
{
    // Queues of other daemons are only included through load reports. The backlog in a grant is as
    // old as the grant; using it moved calls away from their cache because of queues that no longer
    // existed.
    return server.state.expectedWait(server.assigned.size());
}

/// Returns the less loaded of two servers chosen at random; nullptr if none accepts calls.
Dispatcher::Server *Dispatcher::lessLoaded(const std::vector<Server *> &servers,
                                           const Server *excluded)
{
    constexpr int draws = 4;
    const auto relativeLoad = [](const Server &server) {
        const double load = server.state.load() + static_cast<double>(server.assigned.size())
                            + 0.5 * static_cast<double>(server.slotDemand.size());
        return load / server.state.config().slots;
    };
    Server *best = nullptr;
    int found = 0;
    for (int i = 0; i < draws && found < 2 && !servers.empty(); i++) {
        Server *candidate = servers[random_.below(servers.size())];
        if (candidate == excluded || candidate == best || !candidate->state.acceptsCalls()) {
            continue;
        }
        found++;
        if (!best || relativeLoad(*candidate) < relativeLoad(*best)) {
            best = candidate;
        }
    }
    if (best) {
        return best;
    }
    const auto fallback
        = std::find_if(servers.begin(), servers.end(), [excluded](const Server *server) {
              return server != excluded && server->state.acceptsCalls();
          });
    return fallback == servers.end() ? nullptr : *fallback;
}

Dispatcher::Server *Dispatcher::nextRoundRobin(Service &service)
{
    for (std::size_t i = 0; i < service.servers.size(); i++) {
        Server *server = service.servers[service.roundRobinIndex++ % service.servers.size()];
        if (server->state.acceptsCalls()) {
            return server;
        }
    }
    return nullptr;
}

void Dispatcher::dispatchWaiting(Service &service, Base::Instant now)
{
    while (!service.unassigned.isEmpty() && !service.freeServers.empty()) {
        const Call &call = *find(service.unassigned.best()->id);
        Base::Tokens cached;
        Server *server = findCacheHolder(call, cached);
        if (!server || !server->freeIndex) {
            server = lessLoaded(service.freeServers, nullptr);
        }
        dispatchNext(*server, now);
    }
}

/// Sends the next call to a server; returns false if there is no free slot or no call.
bool Dispatcher::dispatchNext(Server &server, Base::Instant now)
{
    if (!server.freeIndex) {
        return false;
    }
    std::optional<QueueKey> key = bestFor(server);
    if (!key) {
        key = bestToSteal(server);
    }
    if (!key) {
        return false;
    }
    send(*find(key->id), server, std::nullopt, now);
    return true;
}

std::optional<QueueKey> Dispatcher::bestFor(const Server &server) const
{
    return firstOf(server.assigned.best(), server.service->unassigned.best());
}

// The lender granted the slot to this team, so no call of another team may use it.
std::optional<QueueKey> Dispatcher::bestFor(const Server &server, const Base::TeamId &team) const
{
    const std::optional<QueueKey> own
        = firstOf(server.assigned.bestOf(team), server.slotDemand.bestOf(team));
    return firstOf(own, server.service->unassigned.bestOf(team));
}

std::optional<QueueKey> Dispatcher::bestToSteal(const Server &server)
{
    if (settings_.placement == PlacementPolicy::RoundRobin) {
        return std::nullopt;
    }
    for (const QueueKey &key : server.service->assigned.firstCalls(stealScan)) {
        const Call &call = *find(key.id);
        const Base::Tokens cached = cachedAt(call, *call.assignedServer);
        const double seconds = static_cast<double>(cached.value()) / prefillPerSecond_;
        if (call.attempt == 1 && Base::toSeconds(expectedWait(*call.assignedServer)) > seconds) {
            return key;
        }
    }
    return std::nullopt;
}

void Dispatcher::send(Call &call, Server &server, std::optional<HeldSlot> slot, Base::Instant now)
{
    SendToServer order;
    order.id = call.request.id;
    order.server = server.state.id();
    order.epoch = slot ? slot->epoch : server.state.config().epoch;
    order.attempt = call.attempt;
    order.cachedTokens = cachedAt(call, server);
    order.reason = reasonFor(call, server);
    order.waited = now - call.enqueuedAt;
    dequeue(call);
    call.server = &server;
    call.slot = slot;
    call.sentAt = now;
    call.cached = order.cachedTokens;
    const DispatchRequest &request = call.request;
    call.charged = cost(request.promptTokens, call.cached, request.expectedOutput);
    TeamCounters::charge(call.key.team, call.charged);
    server.state.dispatched(now);
    updateFreeList(server);
    actions_.emplace_back(std::move(order));
}

ChoiceReason Dispatcher::reasonFor(const Call &call, const Server &server) const
{
    if (call.attempt > 1) {
        return ChoiceReason::Retry;
    }
    if (cachedAt(call, server) > Base::Tokens()) {
        return ChoiceReason::CacheAffinity;
    }
    if (!memory_.holders(call.request.program).empty()) {
        return ChoiceReason::AffinityTooBusy;
    }
    return server.service->freeServers.size() > 1 ? ChoiceReason::LessLoaded
                                                  : ChoiceReason::FirstFree;
}

double Dispatcher::cost(Base::Tokens prompt, Base::Tokens cached, Base::Tokens output) const
{
    const auto computed = static_cast<double>((prompt - cached).value());
    return computed + settings_.outputTokenCost * static_cast<double>(output.value());
}

} // namespace Dispatch
