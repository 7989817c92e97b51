#pragma once

#include "coreactions.h"

#include <admission/rateborrower.h>
#include <admission/ratelender.h>
#include <contracts/configreplica.h>
#include <dispatch/dispatcher.h>
#include <dispatch/slotlender.h>
#include <fleet/membershipview.h>
#include <journal/compactor.h>
#include <programs/programlimits.h>

#include <memory>

/// The scheduling logic of one daemon, without its sockets: the state machines of the other
/// libraries and the routing of calls, combined into one state machine.
namespace Scheduler {

struct CoreSettings
{
    Fleet::Daemon self;
    std::uint16_t partitionCount = 256;
    std::uint64_t seed = 0;
    Fleet::MembershipSettings membership;
    Ownership::OwnershipSettings ownership;
    Journal::WriterSettings journal;
    Journal::CompactorSettings compactor;
    Base::Bytes witnessCapacity{64 << 20};
    Contracts::ConfigReplicaSettings config;
    Programs::ProgramLimits programs;
    Admission::BorrowerSettings borrower;
    Admission::LenderSettings lender;
    Dispatch::DispatchSettings dispatch;
    Dispatch::SlotLenderSettings slotLender;
    CallRouterSettings router;
};

/// A caller's request with the key that came with it.
struct IncomingCall
{
    Base::RequestId request;
    /// Value of the Authorization header without "Bearer "; empty if there was none.
    std::string key;
    CallerApi::CallerRequest body;
};

/// A plain service's answer to a run.
struct PlainResult
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// A load report of a model engine.
struct EngineLoadReport
{
    Base::ServerId server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// When the engine measured the load.
    Base::Instant measuredAt;
    std::vector<Base::ProgramId> cachedPrograms;
};

/// The state machine of a daemon: takes events of callers, peers, the platform and backend servers
/// and returns actions. Not thread-safe; the process that runs it holds one lock.
class DaemonCore
{
public:
    explicit DaemonCore(const CoreSettings &settings);
    ~DaemonCore();

    DaemonCore(const DaemonCore &) = delete;
    DaemonCore &operator=(const DaemonCore &) = delete;

    void start(Base::Instant now);

    /// Exactly one final AnswerCaller follows, unless callerGone() comes first.
    void call(IncomingCall call, Base::Instant now);
    void callerGone(Base::RequestId request, Base::Instant now);
    /// Returns the error with which call() would refuse a request for its key, or because no
    /// request is accepted, whatever its body is.
    std::optional<Base::Error> earlyRefusal(const std::string &key,
                                            const std::optional<Base::ServiceId> &plainService,
                                            Base::Instant now) const;

    void peerMessage(const Base::IncarnationId &from, PeerMessage message, Base::Instant now);
    /// The messages were not acknowledged by the peer.
    void peerFailed(const Base::IncarnationId &to,
                    const std::vector<PeerMessage> &messages,
                    Base::Instant now);

    void storeReplied(Platform::StoreReply reply, Base::Instant now);
    void configurationEventReceived(const Platform::StoredObject &object, Base::Instant now);
    void vmsListed(std::span<const Fleet::Vm> vms, Base::Instant now);

    void outputReceived(Dispatch::DispatchId id, const std::string &text, Base::Instant now);
    void modelFinished(Dispatch::DispatchId id, const Dispatch::Usage &usage, Base::Instant now);
    void plainFinished(Dispatch::DispatchId id, PlainResult result, Base::Instant now);
    void runFailed(Dispatch::DispatchId id, const Dispatch::Failure &failure, Base::Instant now);
    void probed(const Base::ServerId &server, bool isUp, Base::Instant now);
    void memoryReleased(const Base::ServerId &server,
                        const Base::ProgramId &program,
                        Base::Instant now);
    void engineLoadReported(const EngineLoadReport &report, Base::Instant now);

    void edit(Contracts::SubmitEdit edit, Base::Instant now);

    /// Refuses new requests and hands every partition over.
    void beginShutdown(Base::Instant now);
    /// Whether any request or call is in progress here.
    bool isBusy() const { return openRequests() > 0 || openRuns() > 0; }
    /// Number of requests that arrived here and are not answered yet.
    size_t openRequests() const;
    /// Number of calls that wait for a backend server or run there.
    size_t openRuns() const;

    void tick(Base::Instant now);
    Base::Instant nextWakeUp(Base::Instant now) const;
    std::vector<CoreAction> takeActions();

    /// Whether a configuration is active and partitions have owners, outside of a shutdown.
    bool isReady() const;
    std::shared_ptr<const Contracts::ConfigurationDocument> configuration() const;
    Base::Bytes programMemory() const;
    size_t programCount() const;
    size_t servedPartitions() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Scheduler
