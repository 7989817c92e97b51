#pragma once

#include "eventsplitter.h"
#include "passthrough.h"
#include "requestroute.h"

#include <dispatch/requestfingerprint.h>

namespace Proxy {

/// Handles one request of a caller from its arrival to its final response: admission, the attempts
/// on servers, and the forwarding of the response.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(PassThrough &owner, std::shared_ptr<CallerConnection> caller, CallerRequest request);

    void start();
    /// Ends the request because the process is about to end.
    void onProcessEnding();

private:
    /// How the exchange ended, for the log.
    struct Ending
    {
        RequestEnding forCaller = RequestEnding::Cut;
        int status = 0;
        const char *outcome = "";
        std::string detail;
    };

    /// What the server of one attempt has sent.
    struct AttemptResponse
    {
        /// A response that names no request may belong to another one: the connection had one
        /// before, or a response to another one came on it.
        bool mayBeStaleIfUnnamed = false;
        /// The head of a response that is not known to belong to another request has arrived.
        bool hasBegun = false;
        /// The head of the response to forward; unset until it is accepted.
        std::optional<ResponseHead> head;
        Framing framing;
        bool isEventStream = false;
        /// Held back until the response is complete or exceeds the buffer.
        std::string bufferedBody;
    };

    Base::Instant now() const { return owner_.now(); }
    Base::Duration timeLeft() const { return deadline_ - now(); }

    bool checkIds();
    bool findRoute();
    bool isTurn() const;
    bool checkHistoryFields();
    void findHistory();
    void onHistory(TurnHistory::LookupResult result, const TurnHistory::Chain &chain);
    void findStreamVersion();
    Dispatch::StreamKey streamKey() const;
    void onStreamFound(const Dispatch::StreamFinding &finding);
    bool isOfEarlierRequest(const Dispatch::StreamRecord &record) const;
    void findSoleVersion();
    void onServersReadForSoleVersion(bool isRead);
    void onStreamVersionKnown();
    void refuseStream(const char *outcome, std::string detail);
    std::optional<Base::SoftwareVersion> soleVersion() const;
    void noteServerList();
    bool readServersIfNeeded();
    bool isStreamUncertain() const;
    Dispatch::ProcessCertainty streamCertainty() const;
    bool isVersionSure(Dispatch::ProcessCertainty certainty,
                       const Base::SoftwareVersion &version) const;
    bool askStreamServer();
    void askStreamServerOn(std::shared_ptr<ClientConnection> connection);
    void onStreamServerAsked(ProcessFinding finding);
    bool continuesStream() const;
    void addStreamDetails(Telemetry::LogFields &fields) const;
    void logContinuation() const;
    void onAdmitted();
    void keepTurn();
    void onTurnKept(bool isKept);
    Dispatch::CrashStage crashStage() const;
    TurnHistory::Turn takeCompletedTurn();
    Admission::Urgency urgency() const;
    Admission::ProgramProfile programProfile() const;
    bool checkLoad();
    void checkRate();
    void onPermitVerdict(const Admission::PermitVerdict &verdict);
    void checkBudget();
    void onBudgetVerdict(BudgetVerdict verdict);
    bool isRepeatable() const;
    bool mayBeSent() const;
    bool checkShutdown();
    void armDeadline();
    void onDeadline();
    void onCallerDisconnected();

    void startAttempt();
    void refuseWithoutServer();
    bool isOverloaded() const;
    void requestServerPermit();
    void onServerPermit(const Admission::PermitVerdict &verdict, bool mayWait);
    void offer();
    void refuseAttempt(const char *outcome, std::string detail, Base::Duration retryAfter);
    void refuseQuarantined();
    void connect(const Dispatch::Placement &placement);
    void onConnected(std::shared_ptr<ClientConnection> connection, const std::string &problem);
    bool mustAskServer(const ClientConnection &connection) const;
    void sendOrAskServer(std::shared_ptr<ClientConnection> connection, bool isKept);
    void askServer(std::shared_ptr<ClientConnection> connection);
    void onServerAsked(ProcessFinding finding, std::shared_ptr<ClientConnection> connection);
    void sendTo(std::shared_ptr<ClientConnection> connection, bool isKept);
    std::string serializeForServer() const;
    HeadVerdict onHead(const ResponseHead &head, const Framing &framing);
    void onStaleResponse();
    void recordStatements(const ResponseTraits &traits);
    void recordProcess(const ResponseTraits &traits);
    void recordLimit(const ResponseTraits &traits);
    void recordResponse(int status);
    void recordCost();
    void onBody(const std::string &bytes);
    void recordStream();
    void recordContinuation();
    void onEvents(const std::string &bytes);
    std::optional<std::uint64_t> maxEvents() const;
    const char *streamProblem() const;
    std::size_t keptBytes() const;
    bool leaseKeptBytes();
    void beginLease();
    void passOnBufferedBody();
    void breakStream(const std::string &problem);
    void endOverlongStream();
    void onEnd(ResponseEnd end, const std::string &problem);
    bool isZoneClosed() const;
    void onZoneClosed();
    void onNotRun(const std::string &detail);
    void onBroken(const std::string &problem);
    bool mayRetry() const;
    bool isResponseBuffered() const;

    void forwardHead();
    void forwardBody(std::string_view bytes);
    void forwardEnd();
    void applyBackpressure();
    void releaseServer(bool isConnectionReusable);

    /// Cuts the response off if its head has been forwarded.
    void respondWithError(int status,
                          const char *outcome,
                          std::string detail,
                          std::optional<Base::Duration> retryAfter = std::nullopt);
    void abortResponse(const char *outcome, std::string detail);
    void finish(Ending ending);
    void countOutput();
    void settle();
    void writeLog(Ending ending);

    PassThrough &owner_;
    std::shared_ptr<CallerConnection> caller_;
    CallerRequest request_;
    RequestTraits traits_;
    std::shared_ptr<const Contracts::RoutingTable> table_;
    const Contracts::Route *route_ = nullptr;
    const Contracts::RoutedService *service_ = nullptr;
    const Contracts::RoutedTeam *team_ = nullptr;
    Base::Instant deadline_;
    Dispatch::RequestFingerprints fingerprints_;
    asio::steady_timer timer_;
    /// Runs while the request waits until its team's permit is valid.
    std::optional<asio::steady_timer> rateTimer_;

    /// The server of the current attempt.
    std::optional<Dispatch::Placement> placement_;
    std::shared_ptr<ConnectAttempt> connecting_;
    std::shared_ptr<ClientConnection> connection_;
    /// The daemon through which the server of the last attempt is reached.
    std::optional<Base::VmId> relay_;
    Base::Instant sentAt_;
    /// Time from the last sending to the head of the response.
    Base::Duration firstResponseTime_{};
    std::vector<Base::ServerId> excludedServers_;
    std::uint32_t attempts_ = 0;
    /// Permits of servers with a request limit that were denied.
    std::uint32_t deniedPermits_ = 0;
    /// Attempts in which the request was or may have been executed.
    std::uint32_t executions_ = 0;
    bool mayHaveRun_ = false;

    /// The limit that the server of the last response states.
    std::optional<Base::RequestRate> requestLimit_;

    AttemptResponse response_;
    /// What was forwarded of the stream, from all attempts.
    EventSplitter events_;
    /// For the bytes that are kept of the response of the current attempt.
    Base::MemoryLease responseLease_;
    /// For those of earlier attempts, whose servers they came from.
    std::vector<Base::MemoryLease> earlierLeases_;
    std::size_t earlierBytes_ = 0;
    bool isHeadForwarded_ = false;
    bool isStreamForwarded_ = false;
    Programs::ReservationId reservation_;
    bool isReserved_ = false;
    /// The turn counts among the requests of its program.
    bool isCountedTurn_ = false;
    Admission::Urgency urgency_ = Admission::Urgency::Started;
    /// A permit was granted, and no attempt has been made yet.
    bool hasPermit_ = false;
    bool isEnded_ = false;

    /// The turns that this one continues; unset until they are found.
    std::optional<TurnHistory::LookupResult> history_;
    /// Contents of those turns, sent before the body of the request.
    std::string prefix_;
    /// Selects the holders of this turn.
    std::string placementKey_;
    std::size_t chainTurns_ = 0;
    /// The version that began the stream; the rest of it comes from servers of this version only.
    std::optional<Base::SoftwareVersion> streamVersion_;
    /// What is known about the first event of the stream, and when that was known.
    std::optional<Dispatch::StreamRecord> streamRecord_;
    Base::Instant streamRecordedAt_;
    /// What the list of servers rested on when the version was decided on.
    std::optional<Dispatch::ListConfirmation> listConfirmation_;
    bool isContinuationRecorded_ = false;
    /// What the server that began the stream says of itself, if it had to be asked.
    std::optional<ProcessFinding> streamServerFinding_;
    std::shared_ptr<ConnectAttempt> askingStreamServer_;
    /// Whether the list of servers could be read for this request; unset if that was not tried.
    std::optional<bool> isListRead_;
    /// The request continues no stream, or its version was found.
    bool isStreamVersionKnown_ = true;
    /// The rate and the budget allow the request.
    bool isAdmitted_ = false;
    /// Time until the history was known.
    Base::Duration historyTime_{};
    Base::Instant keepingSince_;
    /// Ends the attempts to keep the turn.
    std::function<void()> cancelKeeping_;
    Base::Duration keepingTime_{};
};

} // namespace Proxy
