#pragma once

#include "actions.h"
#include "backendserver.h"
#include "enginememory.h"
#include "fairqueue.h"
#include "retrybudget.h"
#include "slotborrower.h"

#include <base/random.h>

#include <memory>

namespace Dispatch {

/// How a call failed at its server.
struct Failure
{
    /// Answer for the caller if the call is not retried; its `ran` says whether the call ran.
    Base::Error error;
    /// Time-out, refused connection or server error: counts towards ejection.
    bool isServerFault = true;
};

/// One backend server as operators see it.
struct ServerStatus
{
    ServerConfig config;
    ServerHealth health = ServerHealth::Healthy;
    std::uint32_t running = 0;
    std::uint32_t load = 0;
    std::size_t waiting = 0;
};

/// Orders the calls of one daemon's programs and chooses their backend servers.
///
/// A call waits in two places at most: bound to a server that holds its prefix, and in the queue of
/// its service for whichever server is free first. Plain services and models have separate queues.
class Dispatcher
{
public:
    Dispatcher(Base::IncarnationId self, DispatchSettings settings, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// The complete list of backend servers; those not in it are gone.
    void serversChanged(const std::vector<ServerConfig> &servers, Base::Instant now);

    /// Every call ends in SendToServer and then finished(), failed() or cancel(), or in Refuse.
    void enqueue(const DispatchRequest &request, Base::Instant now);
    /// The server's first sign of life for the call.
    void started(DispatchId id, Base::Instant now);
    void finished(DispatchId id, const Usage &usage, Base::Instant now);
    /// Retries the call on another server if it is idempotent and the budget allows, else refuses.
    void failed(DispatchId id, const Failure &failure, Base::Instant now);
    /// The caller is gone: a waiting call is dropped, a running one is cancelled at its server.
    void cancel(DispatchId id, Base::Instant now);

    /// A load report, taken at the server at time `at`.
    void loadReported(const Base::ServerId &server,
                      std::uint32_t running,
                      std::uint32_t queued,
                      Base::Instant at);
    void cacheEvent(const Base::ServerId &server,
                    const Base::ProgramId &program,
                    Base::Tokens tokens,
                    CacheEventKind kind);
    void probed(const Base::ServerId &server, bool isUp, Base::Instant now);

    /// The program's engine memory is released wherever it is held.
    void programEnded(const Base::ProgramId &program, Base::Instant now);
    void memoryReleased(const Base::ServerId &server, const Base::ProgramId &program);
    /// An engine's complete list of programs in its memory, against the live ones.
    void memoryReported(const Base::ServerId &server,
                        const std::vector<Base::ProgramId> &reported,
                        const std::set<Base::ProgramId> &live,
                        Base::Instant now);

    void slotGranted(const SlotGrant &grant, Base::Instant now);
    /// The partition of the server has another owner.
    void slotOwnerChanged(const Base::ServerId &server, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<DispatchAction> takeActions();

    std::size_t waiting(const Base::ServiceId &service) const;
    std::size_t callCount() const { return calls_.size(); }
    std::vector<ServerStatus> servers() const;
    const EngineMemory &memory() const { return memory_; }

private:
    struct Service;
    struct Server;
    struct Call;
    struct Placement
    {
        Server *server = nullptr;
        ChoiceReason reason = ChoiceReason::FirstFree;
    };

    Service &serviceOf(const Base::ServiceId &id);
    Server *find(const Base::ServerId &id);
    Call *find(DispatchId id);
    void addServer(const ServerConfig &config);
    void updateServer(Server &server, const ServerConfig &config, Base::Instant now);
    void removeServer(Server &server, Base::Instant now);
    void refreshFree(Server &server);
    void reapGone();
    void evacuate(Server &server, Base::Instant now);
    bool borrows(const Server &server) const;
    void ejectIfAllowed(Server &server, Base::Instant now);
    void probeDue(Base::Instant now);

    std::optional<Base::Error> queueError(const DispatchRequest &request,
                                          const Service &service) const;
    void admit(Call &call, Service &service, Base::Instant now);
    void place(Call &call, Base::Instant now);
    void bind(Call &call, Server &server, bool mayReconsider, Base::Instant now);
    void queueForAny(Call &call, Base::Instant now);
    void planReconsideration(Call &call, Base::Instant now);
    void askTwo(Call &call);
    void dequeue(Call &call);
    void reconsider(Call &call, Base::Instant now);
    void refuseLate(Base::Instant now);
    Server *holderOf(const Call &call, Base::Tokens &cached);
    Base::Tokens cachedAt(const Call &call, const Server &server) const;
    bool isWorthWaiting(const Call &call, Server &holder, Base::Tokens cached);
    Base::Duration expectedWait(const Server &server) const;
    Server *lessLoaded(const std::vector<Server *> &servers, const Server *excluded);
    Server *nextInTurn(Service &service);

    void pump(Service &service, Base::Instant now);
    bool offer(Server &server, Base::Instant now);
    std::optional<QueueKey> bestFor(const Server &server) const;
    std::optional<QueueKey> bestFor(const Server &server, const Base::TeamId &team) const;
    std::optional<QueueKey> bestStolen(const Server &server);
    void send(Call &call, Server &server, std::optional<HeldSlot> slot, Base::Instant now);
    ChoiceReason reasonFor(const Call &call, const Server &server) const;
    double cost(Base::Tokens prompt, Base::Tokens cached, Base::Tokens output) const;
    void release(Call &call, double actualCost, Base::Instant now);
    bool mayRetry(const Call &call, Service &service, Base::Instant now);
    void retry(Call &call, Base::Instant now);
    void refuse(const Call &call, Base::Error error);
    void forget(DispatchId id);
    void flushDemand(Base::Instant now);
    std::vector<TeamDemand> demandAt(const Server &server);
    void flushReleases();

    Base::IncarnationId self_;
    DispatchSettings settings_;
    Base::Random random_;
    double prefillPerSecond_;
    std::unordered_map<Base::ServiceId, std::unique_ptr<Service>> services_;
    std::unordered_map<Base::ServerId, std::unique_ptr<Server>> servers_;
    /// Servers that are gone while calls that were sent to them have not ended.
    std::vector<std::unique_ptr<Server>> goneServers_;
    std::unordered_map<DispatchId, std::unique_ptr<Call>> calls_;
    std::set<std::pair<Base::Instant, DispatchId>> deadlines_;
    std::set<std::pair<Base::Instant, DispatchId>> reconsiderations_;
    std::set<std::pair<Base::Instant, Base::ServerId>> probes_;
    std::set<Base::ServerId> demandChanged_;
    EngineMemory memory_;
    SlotBorrower slots_;
    std::vector<DispatchAction> actions_;
};

} // namespace Dispatch
