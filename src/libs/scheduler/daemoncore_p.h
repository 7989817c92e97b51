#pragma once

#include "daemoncore.h"
#include "leaseexpirytracker.h"
#include "partitionloader.h"
#include "remotecallers.h"
#include "storemultiplexer.h"
#include "witnessleases.h"

#include <admission/rateborrowertable.h>
#include <admission/ratelendertable.h>
#include <contracts/keyauthenticator.h>
#include <dispatch/slotlendertable.h>
#include <journal/witnessbuffer.h>
#include <programs/programtable.h>

#include <deque>

namespace Scheduler {

/// The state machines of one daemon, and the routing of actions between them. Each event of a
/// public method goes to one machine; processActions() then passes actions between the machines
/// until none is left.
class DaemonCore::Private
{
public:
    explicit Private(const CoreSettings &settings);

    void start(Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    void processActions(Base::Instant now);

    // Requests of callers that arrived here (daemoncore_calls.cpp).
    std::optional<Base::Error> unavailability(Base::Instant now) const;
    std::optional<Base::Error> earlyRefusal(const std::string &key,
                                            const std::optional<Base::ServiceId> &plainService,
                                            Base::Instant now) const;
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
    void requestForwarded(const Base::IncarnationId &from,
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
    void dispatchRefused(const Dispatch::Refuse &refuse, Base::Instant now);
    void slotActions(Base::Instant now);

    // Ownership, journal and membership (daemoncore_ownership.cpp).
    void membershipActions(Base::Instant now);
    void membershipEvent(const Fleet::MembershipEvent &event, Base::Instant now);
    void ownershipActions(Base::Instant now);
    void partitionAcquired(const Ownership::PartitionAcquired &acquired, Base::Instant now);
    void partitionLost(Base::PartitionId partition, Base::Instant now);
    void takeoverActions(Base::Instant now);
    void loaderActions(Base::Instant now);
    void adopt(LoadedPartition loaded, Base::Instant now);
    void serve(const LoadedPartition &loaded, Base::Instant now);
    void startLenders(Base::PartitionId partition,
                      Base::Epoch epoch,
                      bool hasPredecessor,
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
    void log(LogEntry entry) { actions_.emplace_back(std::move(entry)); }

    void stopLenders(Base::PartitionId partition);
    void extendLending(Base::Instant now);
    void renewWitnessLeases(Base::Instant now);
    Base::PartitionId partitionOfTeam(const Base::TeamId &team) const;
    Base::PartitionId partitionOfServer(const Base::ServerId &server) const;

    /// A program's call that waits for a backend server or runs there.
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
        /// Output of the current attempt.
        std::string output;
        /// Output passed to the program table, over all attempts.
        std::string delivered;
        /// The output of a later attempt differs from the output already passed on.
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
    void engineLoadReported(const EngineLoadReport &report, Base::Instant now);
    double weightOf(const Base::TeamId &team) const;

    CoreSettings settings_;
    std::vector<CoreAction> actions_;
    std::deque<PeerMessage> selfMessages_;
    /// Actions processed so far; processActions() ends when a round leaves it unchanged.
    size_t processedActions_ = 0;
    StoreMultiplexer store_;
    bool isShuttingDown_ = false;
    bool isFenced_ = false;

    Contracts::ConfigReplica config_;
    Contracts::ConfigEditor editor_;
    Contracts::KeyAuthenticator keys_;
    /// Keys that expired up to this time have been treated as withdrawn.
    Base::Instant lastKeyExpiryCheck_;

    Fleet::MembershipView membership_;
    Ownership::OwnershipManager ownership_;
    LeaseExpiryTracker leaseExpiry_;
    WitnessLeases witnessLeases_;
    /// When empty appends are next sent to the witnesses to renew their leases.
    Base::Instant nextWitnessRenewal_;
    Takeover takeover_;
    PartitionLoader loader_;
    /// Partitions whose adoption records are being committed.
    std::map<Journal::Ticket, LoadedPartition> pendingAdoptions_;
    /// Partitions served here, with their epoch.
    std::map<Base::PartitionId, Base::Epoch> serving_;
    /// Partitions to hand over once their calls have ended, with their next owner.
    std::map<Base::PartitionId, Base::IncarnationId> draining_;
    /// Partitions whose adoption records the journal refused; appended again at the next tick.
    std::vector<LoadedPartition> deferredAdoptions_;
    Platform::ObjectVersion knownAssignment_;
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

Admission::RateLimit rateLimitOf(const Contracts::Team &team);
Dispatch::ServiceKind toDispatch(Contracts::ServiceKind kind);

/// Whether the service lists the team or no teams at all.
bool allowsTeam(const Contracts::Service &service, const Base::TeamId &team);

} // namespace Scheduler
