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

/// Failure of a call at its server.
struct Failure
{
    /// Response to the caller if the call is not retried; `ran` indicates whether the call ran.
    Base::Error error;
    /// Timeout, refused connection or server error: counts towards ejection.
    bool isServerFault = true;
};

/// Status of one backend server, for operators.
struct ServerStatus
{
    ServerConfig config;
    ServerHealth health = ServerHealth::Healthy;
    std::uint32_t running = 0;
    std::uint32_t load = 0;
    std::size_t waiting = 0;
};

/// Schedules the calls of one daemon's programs and chooses their backend servers.
///
/// A waiting call is either assigned to the server that holds its prefix, or unassigned in the
/// queue of its service until any server has a free slot. Plain services and models have separate
/// queues.
class Dispatcher
{
public:
    Dispatcher(Base::IncarnationId self, DispatchSettings settings, std::uint64_t seed);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Sets the complete list of backend servers; servers that are not listed are removed.
    void serversChanged(const std::vector<ServerConfig> &servers, Base::Instant now);

    /// Every call results in SendToServer followed by finished(), failed() or cancel(), or in
    /// Refuse.
    void enqueue(const DispatchRequest &request, Base::Instant now);
    /// The server sent the first data of its response to the call.
    void started(DispatchId id, Base::Instant now);
    void finished(DispatchId id, const Usage &usage, Base::Instant now);
    /// Retries the call on another server if it is idempotent and the retry budget allows it,
    /// otherwise refuses it.
    void failed(DispatchId id, const Failure &failure, Base::Instant now);
    /// The caller has disconnected: drops a waiting call, cancels a running call at its server.
    void cancel(DispatchId id, Base::Instant now);

    /// Handles a load report that the server created at time `at`.
    void loadReported(const Base::ServerId &server,
                      std::uint32_t running,
                      std::uint32_t queued,
                      Base::Instant at);
    void cacheEvent(const Base::ServerId &server,
                    const Base::ProgramId &program,
                    Base::Tokens tokens,
                    CacheEventKind kind);
    void probed(const Base::ServerId &server, bool isUp, Base::Instant now);

    /// Releases the program's memory on all engines that hold it.
    void programEnded(const Base::ProgramId &program, Base::Instant now);
    void memoryReleased(const Base::ServerId &server, const Base::ProgramId &program);
    /// Compares an engine's complete list of programs in its memory with the live programs.
    void memoryReported(const Base::ServerId &server,
                        const std::vector<Base::ProgramId> &reported,
                        const std::set<Base::ProgramId> &live,
                        Base::Instant now);

    void slotGranted(const SlotGrant &grant, Base::Instant now);
    /// The server's partition has a new owner.
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
    void updateFreeList(Server &server);
    void purgeGoneServers();
    void reassignWaiting(Server &server, Base::Instant now);
    bool borrowsSlots(const Server &server) const;
    void ejectIfAllowed(Server &server, Base::Instant now);
    void sendDueProbes(Base::Instant now);

    std::optional<Base::Error> queueError(const DispatchRequest &request,
                                          const Service &service) const;
    void admit(Call &call, Service &service, Base::Instant now);
    void place(Call &call, Base::Instant now);
    void assign(Call &call, Server &server, bool mayReconsider, Base::Instant now);
    void enqueueUnassigned(Call &call, Base::Instant now);
    void scheduleReconsideration(Call &call, Base::Instant now);
    void requestSlots(Call &call);
    void dequeue(Call &call);
    void reconsider(Call &call, Base::Instant now);
    void refuseExpired(Base::Instant now);
    Server *findCacheHolder(const Call &call, Base::Tokens &cached);
    Base::Tokens cachedAt(const Call &call, const Server &server) const;
    bool isWorthWaiting(const Call &call, Server &holder, Base::Tokens cached);
    Base::Duration expectedWait(const Server &server) const;
    Server *lessLoaded(const std::vector<Server *> &servers, const Server *excluded);
    Server *nextRoundRobin(Service &service);

    void dispatchWaiting(Service &service, Base::Instant now);
    bool dispatchNext(Server &server, Base::Instant now);
    std::optional<QueueKey> bestFor(const Server &server) const;
    std::optional<QueueKey> bestFor(const Server &server, const Base::TeamId &team) const;
    std::optional<QueueKey> bestToSteal(const Server &server);
    void send(Call &call, Server &server, std::optional<HeldSlot> slot, Base::Instant now);
    ChoiceReason reasonFor(const Call &call, const Server &server) const;
    double cost(Base::Tokens prompt, Base::Tokens cached, Base::Tokens output) const;
    void release(Call &call, double actualCost, Base::Instant now);
    bool mayRetry(const Call &call, Service &service, Base::Instant now);
    void retry(Call &call, Base::Instant now);
    void refuse(const Call &call, Base::Error error);
    void removeCall(DispatchId id);
    void flushDemand(Base::Instant now);
    std::vector<TeamDemand> demandAt(const Server &server);
    void flushReleases();

    Base::IncarnationId self_;
    DispatchSettings settings_;
    Base::Random random_;
    double prefillPerSecond_;
    std::unordered_map<Base::ServiceId, std::unique_ptr<Service>> services_;
    std::unordered_map<Base::ServerId, std::unique_ptr<Server>> servers_;
    /// Removed servers with calls that have not ended.
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
