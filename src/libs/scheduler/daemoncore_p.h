#pragma once

#include "daemoncore.h"
#include "leaseclock.h"
#include "partitionloader.h"
#include "remotecallers.h"
#include "storemultiplexer.h"
#include "witnesspromises.h"

#include <admission/rateborrowertable.h>
#include <admission/ratelendertable.h>
#include <contracts/keyauthenticator.h>
#include <dispatch/slotlendertable.h>
#include <journal/witnessbuffer.h>
#include <programs/programtable.h>

#include <deque>

namespace Scheduler {

/// The state machines of one daemon, and the routing of actions between them. Every event of a
/// public method goes to one machine; settle() then carries actions to other machines until none
/// has any left.
class DaemonCore::Private
{
public:
    explicit Private(const CoreSettings &settings);

    void start(Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    void settle(Base::Instant now);

    // Requests of callers that arrived here (daemoncore_calls.cpp).
    void call(IncomingCall call, Base::Instant now);
    void callerGone(Base::RequestId request, Base::Instant now);
    void admitted(Base::RequestId request, Base::Instant now);
    void startPlainCall(Base::RequestId request,
                        const Base::TeamId &team,
                        const CallerApi::PlainServiceRequest &body,
                        Base::Instant now);
    void startChat(Base::RequestId request,
                   const Contracts::KeyHolder &holder,
                   const CallerApi::ChatCompletionRequest &body,
                   Base::Instant now);
    bool continueChat(const AnswerCaller &answer, Base::Instant now);
    void answer(Base::RequestId request,
                CallerApi::CallerReply reply,
                CallerApi::AnswerStyle style = CallerApi::AnswerStyle::Json);
    Base::ProgramId newProgramId(Base::RequestId request);
    void routerActions(Base::Instant now);
    void borrowerActions(Base::Instant now);

    // Requests at the owner of their program (daemoncore_owner.cpp).
    void runAtOwner(const ForwardedRequest &request, Base::RequestId id, Base::Instant now);
    void forwarded(const Base::IncarnationId &from,
                   const ForwardedRequest &request,
                   Base::Instant now);
    void reply(Base::RequestId request, CallerApi::CallerReply reply, Base::Instant now);
    void programActions(Base::Instant now);
    void programAction(Programs::AppendRecords &append, Base::Instant now);
    void programAction(Programs::StartDispatch &start, Base::Instant now);
    void programAction(Programs::CancelDispatch &cancel, Base::Instant now);
    void programAction(Programs::ReplyCreated &created, Base::Instant now);
    void programAction(Programs::ReplyAccepted &accepted, Base::Instant now);
    void programAction(Programs::ReplyOutput &output, Base::Instant now);
    void programAction(Programs::ReplyDone &done, Base::Instant now);
    void programAction(Programs::ReplyError &error, Base::Instant now);
    void programAction(Programs::ReplyDescription &description, Base::Instant now);
    void programAction(Programs::ReplyEnded &ended, Base::Instant now);
    void programAction(Programs::ReleaseEngineMemory &release, Base::Instant now);

    // Runs at backend servers (daemoncore_runs.cpp).
    void dispatchActions(Base::Instant now);
    void sendToServer(const Dispatch::SendToServer &send, Base::Instant now);
    void refused(const Dispatch::Refuse &refuse, Base::Instant now);
    void slotActions(Base::Instant now);

    // Ownership, journal and membership (daemoncore_ownership.cpp).
    void membershipActions(Base::Instant now);
    void memberEvent(const Fleet::MembershipEvent &event, Base::Instant now);
    void ownershipActions(Base::Instant now);
    void acquired(const Ownership::PartitionAcquired &acquired, Base::Instant now);
    void lost(Base::PartitionId partition, Base::Instant now);
    void takeoverActions(Base::Instant now);
    void loaderActions(Base::Instant now);
    void adopt(PartitionLoaded loaded, Base::Instant now);
    void serve(const PartitionLoaded &loaded, Base::Instant now);
    void serveContracts(Base::PartitionId partition,
                        Base::Epoch epoch,
                        bool isFresh,
                        Base::Instant now);
    void drainPartitions(Base::Instant now);
    void journalActions(Base::Instant now);
    void recordsCommitted(Journal::Ticket ticket, Base::Instant now);
    void segmentStored(Journal::SegmentStored stored, Base::Instant now);
    void compactorActions(Base::Instant now);

    // Configuration (daemoncore_config.cpp).
    void configActions(Base::Instant now);
    void editorActions(Base::Instant now);
    void configurationActivated(const Contracts::ConfigurationActivated &activated,
                                Base::Instant now);
    void configureTeams(Base::Instant now);
    void configureServers(Base::Instant now);
    std::vector<Base::IncarnationId> peerIncarnations() const;

    // Messages (daemoncore.cpp).
    void callStore(StoreClient client, std::uint64_t instance, Platform::StoreRequest request);
    void storeReplied(Platform::StoreReply reply, Base::Instant now);
    void send(const Base::IncarnationId &to, PeerMessage message, Base::Instant now);
    void receive(const Base::IncarnationId &from, PeerMessage &message, Base::Instant now);
    void sendToOwner(Base::PartitionId partition, PeerMessage message, Base::Instant now);
    void report(Report report) { actions_.emplace_back(std::move(report)); }

    void stopContracts(Base::PartitionId partition);
    void extendLending(Base::Instant now);
    void askPromises(Base::Instant now);
    Base::PartitionId partitionOfTeam(const Base::TeamId &team) const;
    Base::PartitionId partitionOfServer(const Base::ServerId &server) const;

    /// A call of a program on its way to or at a backend server.
    struct ProgramRun
    {
        Programs::StartDispatch start;
    };
    /// A request to a plain service that belongs to no program.
    struct ServiceRun
    {
        Base::RequestId request;
        Base::KeyId key;
        CallerApi::PlainServiceRequest body;
    };
    struct Run
    {
        std::variant<ProgramRun, ServiceRun> origin;
        Base::ServiceId service;
        Base::ServerId server;
        bool isStarted = false;
        /// Output of the present attempt.
        std::string output;
        /// Output that went on to callers, over all attempts.
        std::string delivered;
        bool isDiverged = false;
    };
    /// A request that waits for its team's rate.
    struct AwaitingPermit
    {
        Contracts::KeyHolder holder;
        CallerApi::CallerRequest body;
    };
    /// A chat completion: a program of one call.
    struct Chat
    {
        Contracts::KeyHolder holder;
        CallerApi::ChatCompletionRequest body;
        Base::ServiceId service;
        Base::ProgramId program;
    };

    void dispatchProgramRun(Programs::StartDispatch start,
                            const Contracts::Service &service,
                            Base::Instant now);
    void dispatchServiceRun(ServiceRun run,
                            const Contracts::Service &service,
                            const Base::TeamId &team,
                            Base::Instant now);
    void outputReceived(Dispatch::DispatchId id, const std::string &text, Base::Instant now);
    void modelFinished(Dispatch::DispatchId id, const Dispatch::Usage &usage, Base::Instant now);
    void plainFinished(Dispatch::DispatchId id, PlainResult result, Base::Instant now);
    void runFailed(Dispatch::DispatchId id, const Dispatch::Failure &failure, Base::Instant now);
    void cancelRun(Dispatch::DispatchId id, Base::Instant now);
    void engineReported(const EngineReport &report, Base::Instant now);
    double weightOf(const Base::TeamId &team) const;

    CoreSettings settings_;
    std::vector<CoreAction> actions_;
    std::deque<PeerMessage> selfMessages_;
    /// Actions carried between machines so far; settle() ends when it stands still.
    size_t movedActions_ = 0;
    StoreMultiplexer store_;
    bool isShuttingDown_ = false;
    bool isFenced_ = false;

    Contracts::ConfigReplica config_;
    Contracts::ConfigEditor editor_;
    Contracts::KeyAuthenticator keys_;
    /// Keys whose validity ended until then were treated as withdrawn.
    Base::Instant keysCheckedAt_;

    Fleet::MembershipView membership_;
    Ownership::OwnershipManager ownership_;
    LeaseClock leaseClock_;
    WitnessPromises promises_;
    /// When the witnesses are asked next to let this daemon lend.
    Base::Instant nextPromise_;
    Takeover takeover_;
    PartitionLoader loader_;
    /// Partitions whose findings are being committed.
    std::map<Journal::Ticket, PartitionLoaded> adoptions_;
    /// Partitions that are served, with their epoch.
    std::map<Base::PartitionId, Base::Epoch> serving_;
    /// Partitions to hand over, and to whom; waiting for their work to end.
    std::map<Base::PartitionId, Base::IncarnationId> draining_;
    /// Findings that the journal had no room for.
    std::vector<PartitionLoaded> retryAdoptions_;
    Platform::ObjectVersion seenAssignment_;
    std::uint64_t lastTicket_ = 0;

    Journal::JournalWriter journal_;
    Journal::Compactor compactor_;
    Journal::WitnessBuffer witness_;

    Programs::ProgramTable programs_;
    CallRouter router_;
    RemoteCallers remoteCallers_;
    std::unordered_map<Base::RequestId, AwaitingPermit> awaitingPermit_;
    std::unordered_map<Base::RequestId, Chat> chats_;
    std::uint64_t lastInternalRequest_ = 0;
    std::uint64_t programCounter_ = 0;

    Admission::RateBorrowerTable borrowers_;
    Admission::RateLenderTable lenders_;

    Dispatch::Dispatcher dispatcher_;
    Dispatch::SlotLenderTable slotLenders_;
    std::uint64_t lastRun_ = 0;
    std::unordered_map<Dispatch::DispatchId, Run> runs_;
    std::unordered_map<Programs::DispatchId, Dispatch::DispatchId> programRuns_;
    std::unordered_map<Base::RequestId, Dispatch::DispatchId> serviceRuns_;
};

/// The contract's terms in the form of the libraries that carry them out.
Admission::RateLimit rateLimitOf(const Contracts::Team &team);
Dispatch::ServiceKind toDispatch(Contracts::ServiceKind kind);

/// Whether the service names the team, or none at all.
bool isOfferedTo(const Contracts::Service &service, const Base::TeamId &team);

} // namespace Scheduler
