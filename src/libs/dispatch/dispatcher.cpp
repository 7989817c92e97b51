#include "dispatcher.h"

#include "dispatcherstate.h"

#include <algorithm>

namespace Dispatch {

namespace {

// The response times of shorter prompts depend more on the network than on the engine.
constexpr double minPrefillSampleTokens = 256;

// Weight of the newest call in the moving average of the prefill speed.
constexpr double prefillGain = 0.05;

} // namespace

Dispatcher::Dispatcher(Base::IncarnationId self, DispatchSettings settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , prefillPerSecond_(settings.prefillPerSecond)
    , memory_(settings_)
    , slots_(self_, settings.slotRequestInterval)
{}

Dispatcher::~Dispatcher() = default;

void Dispatcher::enqueue(const DispatchRequest &request, Base::Instant now)
{
    Service &service = serviceOf(request.service);
    auto call = std::make_unique<Call>();
    call->request = request;
    call->enqueuedAt = now;
    if (std::optional<Base::Error> error = queueError(request, service)) {
        refuse(*call, std::move(*error));
        return;
    }
    Call &added = *call;
    calls_[request.id] = std::move(call);
    admit(added, service, now);
    place(added, now);
    dispatchWaiting(service, now);
    flushDemand(now);
}

void Dispatcher::started(DispatchId id, Base::Instant now)
{
    Call *call = find(id);
    if (!call || !call->server || call->hasStarted) {
        return;
    }
    call->hasStarted = true;
    const auto computed = static_cast<double>((call->request.promptTokens - call->cached).value());
    const double seconds = Base::toSeconds(now - call->sentAt);
    if (call->request.kind == ServiceKind::Model && computed >= minPrefillSampleTokens
        && seconds > 0) {
        prefillPerSecond_ += prefillGain * (computed / seconds - prefillPerSecond_);
    }
}

void Dispatcher::finished(DispatchId id, const Usage &usage, Base::Instant now)
{
    Call *call = find(id);
    if (!call || !call->server) {
        return;
    }
    Server &server = *call->server;
    Service &service = *call->service;
    server.state.succeeded(now - call->sentAt);
    service.retries.succeeded();
    if (call->request.kind == ServiceKind::Model) {
        const Base::Tokens history = usage.promptTokens + usage.outputTokens;
        memory_.filled(server.state.id(), call->request.program, history);
    }
    release(*call, cost(usage.promptTokens, usage.cachedTokens, usage.outputTokens), now);
    removeCall(id);
    purgeGoneServers();
    dispatchWaiting(service, now);
    flushDemand(now);
}

void Dispatcher::failed(DispatchId id, const Failure &failure, Base::Instant now)
{
    Call *call = find(id);
    if (!call || !call->server) {
        return;
    }
    Server &server = *call->server;
    Service &service = *call->service;
    release(*call, call->charged, now);
    if (failure.isServerFault && server.state.failed()) {
        ejectIfAllowed(server, now);
    }
    call->failure = failure.error;
    call->failedAt = &server;
    if (call->isCancelled) {
        removeCall(id);
    } else if (mayRetry(*call, service, now)) {
        retry(*call, now);
    } else {
        refuse(*call, failure.error);
        removeCall(id);
    }
    purgeGoneServers();
    dispatchWaiting(service, now);
    flushDemand(now);
}

void Dispatcher::cancel(DispatchId id, Base::Instant now)
{
    Call *call = find(id);
    if (!call || call->isCancelled) {
        return;
    }
    if (call->server) {
        call->isCancelled = true;
        actions_.emplace_back(CancelAtServer{id, call->server->state.id()});
        return;
    }
    dequeue(*call);
    removeCall(id);
    flushDemand(now);
}

void Dispatcher::loadReported(const Base::ServerId &server,
                              std::uint32_t running,
                              std::uint32_t queued,
                              Base::Instant at)
{
    if (Server *found = find(server)) {
        found->state.loadReported(running, queued, at);
    }
}

void Dispatcher::cacheEvent(const Base::ServerId &server,
                            const Base::ProgramId &program,
                            Base::Tokens tokens,
                            CacheEventKind kind)
{
    if (kind == CacheEventKind::Filled) {
        memory_.filled(server, program, tokens);
    } else {
        memory_.evicted(server, program);
    }
}

void Dispatcher::programEnded(const Base::ProgramId &program, Base::Instant now)
{
    memory_.programEnded(program, now);
    flushReleases();
}

void Dispatcher::memoryReleased(const Base::ServerId &server, const Base::ProgramId &program)
{
    memory_.released(server, program);
}

void Dispatcher::memoryReported(const Base::ServerId &server,
                                const std::vector<Base::ProgramId> &reported,
                                const std::set<Base::ProgramId> &live,
                                Base::Instant now)
{
    memory_.sweep(server, reported, live, now);
    flushReleases();
}

void Dispatcher::tick(Base::Instant now)
{
    refuseExpired(now);
    while (!reconsiderations_.empty() && reconsiderations_.begin()->first <= now) {
        const DispatchId id = reconsiderations_.begin()->second;
        reconsider(*find(id), now);
    }
    sendDueProbes(now);
    memory_.tick(now);
    flushReleases();
    slots_.tick(now);
    flushDemand(now);
}

std::optional<Base::Instant> Dispatcher::nextWakeUp() const
{
    std::optional<Base::Instant> next = memory_.nextWakeUp();
    const auto consider = [&next](Base::Instant at) { next = next ? std::min(*next, at) : at; };
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->first);
    }
    if (!reconsiderations_.empty()) {
        consider(reconsiderations_.begin()->first);
    }
    if (!probes_.empty()) {
        consider(probes_.begin()->first);
    }
    if (const auto slotRequest = slots_.nextWakeUp()) {
        consider(*slotRequest);
    }
    return next;
}

std::vector<DispatchAction> Dispatcher::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t Dispatcher::waiting(const Base::ServiceId &service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? 0 : it->second->waiting();
}

Dispatcher::Call *Dispatcher::find(DispatchId id)
{
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : it->second.get();
}

void Dispatcher::release(Call &call, double actualCost, Base::Instant now)
{
    Server &server = *call.server;
    TeamCounters::charge(call.key.team, actualCost - call.charged);
    server.state.ended(call.sentAt);
    if (call.slot) {
        const Base::Tokens spent(static_cast<std::int64_t>(actualCost));
        actions_.emplace_back(SendSlotReturn{
            slots_.returnSlot(server.state.id(), *call.slot, call.request.team, spent)});
        call.slot.reset();
    }
    call.server = nullptr;
    updateFreeList(server);
    while (dispatchNext(server, now)) {
    }
}

bool Dispatcher::mayRetry(const Call &call, Service &service, Base::Instant now)
{
    if (!call.request.isIdempotent || call.attempt >= settings_.maximumAttempts
        || call.request.deadline <= now) {
        return false;
    }
    const bool hasOther = std::any_of(
        service.servers.begin(), service.servers.end(), [&call](const Server *server) {
            return server != call.failedAt && server->state.acceptsCalls();
        });
    return hasOther && service.retries.withdraw();
}

void Dispatcher::retry(Call &call, Base::Instant now)
{
    call.attempt++;
    call.hasStarted = false;
    call.isWaiting = true;
    deadlines_.emplace(call.request.deadline, call.request.id);
    Server *other = lessLoaded(call.service->servers, call.failedAt);
    assign(call, *other, false, now);
}

void Dispatcher::refuse(const Call &call, Base::Error error)
{
    actions_.emplace_back(Refuse{call.request.id, std::move(error)});
}

void Dispatcher::removeCall(DispatchId id)
{
    const auto it = calls_.find(id);
    it->second->service->counters.leave(it->second->key.team);
    calls_.erase(it);
}

void Dispatcher::flushReleases()
{
    for (ReleaseMemory &release : memory_.takeReleases()) {
        const Server *server = find(release.server);
        if (!server) {
            continue;
        }
        const Base::Epoch lent = slots_.epoch(release.server);
        release.epoch = std::max(lent, server->state.config().epoch);
        actions_.emplace_back(std::move(release));
    }
}

} // namespace Dispatch
