#include "dispatcher.h"

#include "slotlendertable.h"

#include <algorithm>

namespace Dispatch {

// First cut: every call goes to the server of its service with the fewest running calls.

struct Dispatcher::Service
{};

struct Dispatcher::Server
{
    ServerConfig config;
    std::uint32_t running = 0;
};

struct Dispatcher::Call
{
    DispatchRequest request;
    Server *server = nullptr;
};

EngineMemory::EngineMemory(const DispatchSettings &settings)
    : settings_(&settings)
{}

SlotBorrower::SlotBorrower(Base::IncarnationId self, Base::Duration statementInterval)
    : self_(std::move(self))
    , statementInterval_(statementInterval)
{}

Dispatcher::Dispatcher(Base::IncarnationId self, DispatchSettings settings, std::uint64_t seed)
    : self_(std::move(self))
    , settings_(settings)
    , random_(seed)
    , memory_(settings_)
    , slots_(self_, settings_.slotStatementInterval)
{}

Dispatcher::~Dispatcher() = default;

void Dispatcher::serversChanged(const std::vector<ServerConfig> &servers, Base::Instant)
{
    for (const ServerConfig &config : servers) {
        auto &server = servers_[config.server];
        if (!server) {
            server = std::make_unique<Server>();
        }
        server->config = config;
    }
}

void Dispatcher::enqueue(const DispatchRequest &request, Base::Instant)
{
    Server *best = nullptr;
    for (const auto &[id, server] : servers_) {
        const bool isUsable = server->config.service == request.service && !server->config.isLeaving;
        if (isUsable && (!best || server->running < best->running)) {
            best = server.get();
        }
    }
    if (!best) {
        actions_.emplace_back(Refuse{request.id,
                                     {.code = Base::ErrorCode::Unavailable,
                                      .step = Base::Step::Dispatch,
                                      .message = "no backend server offers this service"}});
        return;
    }
    ++best->running;
    auto call = std::make_unique<Call>(Call{request, best});
    calls_.emplace(request.id, std::move(call));
    SendToServer send;
    send.id = request.id;
    send.server = best->config.server;
    actions_.emplace_back(send);
}

void Dispatcher::started(DispatchId, Base::Instant) {}

void Dispatcher::finished(DispatchId id, const Usage &, Base::Instant)
{
    const auto call = calls_.find(id);
    if (call != calls_.end()) {
        --call->second->server->running;
        calls_.erase(call);
    }
}

void Dispatcher::failed(DispatchId id, const Failure &failure, Base::Instant now)
{
    finished(id, {}, now);
    actions_.emplace_back(Refuse{id, failure.error});
}

void Dispatcher::cancel(DispatchId id, Base::Instant)
{
    const auto call = calls_.find(id);
    if (call != calls_.end()) {
        actions_.emplace_back(CancelAtServer{id, call->second->server->config.server});
    }
}

void Dispatcher::loadReported(const Base::ServerId &, std::uint32_t, std::uint32_t, Base::Instant) {}
void Dispatcher::cacheEvent(const Base::ServerId &, const Base::ProgramId &, Base::Tokens, CacheEventKind) {}
void Dispatcher::probed(const Base::ServerId &, bool, Base::Instant) {}
void Dispatcher::programEnded(const Base::ProgramId &, Base::Instant) {}
void Dispatcher::memoryReleased(const Base::ServerId &, const Base::ProgramId &) {}
void Dispatcher::slotGranted(const SlotGrant &, Base::Instant) {}
void Dispatcher::slotOwnerChanged(const Base::ServerId &, Base::Instant) {}
void Dispatcher::tick(Base::Instant) {}

std::optional<Base::Instant> Dispatcher::nextWakeUp() const
{
    return std::nullopt;
}

std::vector<DispatchAction> Dispatcher::takeActions()
{
    return std::exchange(actions_, {});
}

SlotLenderTable::SlotLenderTable(SlotLenderSettings settings)
    : settings_(settings)
{}

void SlotLenderTable::acquired(const Base::ServerId &, std::uint32_t, Base::Epoch, Base::Instant) {}
void SlotLenderTable::lost(const Base::ServerId &) {}
void SlotLenderTable::configured(const Base::ServerId &, std::uint32_t, bool, Base::Instant) {}
void SlotLenderTable::requested(const SlotRequest &, Base::Instant) {}
void SlotLenderTable::returned(const Base::IncarnationId &, const SlotReturn &, Base::Instant) {}
void SlotLenderTable::borrowerGone(const Base::IncarnationId &, Base::Instant) {}
void SlotLenderTable::tick(Base::Instant) {}

std::optional<Base::Instant> SlotLenderTable::nextWakeUp() const
{
    return std::nullopt;
}

std::vector<SendSlotGrant> SlotLenderTable::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Dispatch
