#pragma once

#include "connectionlimit.h"
#include "messageparser.h"
#include "refusal.h"

#include <base/instant.h>
#include <base/memorybudget.h>
#include <contracts/route.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace Proxy {

class CallerConnection;

/// A complete request of a caller.
struct CallerRequest
{
    RequestHead head;
    std::string body;
    /// For the body; to be released with it.
    Base::MemoryLease bodyLease;
    /// For the head; to be released with the request.
    Base::MemoryLease headLease;
    /// Arrival time of the last byte.
    Base::Instant arrivedAt;
};

/// Why a connection from a caller was closed.
enum class CloseReason {
    /// The last response announced it.
    AfterResponse,
    IdleTimeout,
    /// Idle during a shutdown.
    Shutdown,
    /// Idle, or with a request that did not arrive, while others arrived.
    ForOthers,
    /// The response in progress cannot be completed.
    ResponseAborted,
    /// The caller closed its side, or the connection failed.
    ByCaller
};

/// What was left on a connection when it was closed.
struct ConnectionEnd
{
    CloseReason reason = CloseReason::ByCaller;
    /// Bytes that were read and belong to no handled request.
    std::size_t unhandledBytes = 0;
    /// Complete requests among them.
    std::size_t unhandledRequests = 0;
    /// Bytes that arrived and were not read; their senders may repeat the requests.
    std::size_t unreadBytes = 0;
    /// Bytes of responses that were not sent.
    std::size_t unsentBytes = 0;
};

/// What is decided by the head of a request.
struct HeadDecision
{
    /// Set if the request is refused whatever its body is.
    std::optional<Refusal> refusal;
    /// Time for the body, if it is longer than the idle timeout.
    Base::Duration bodyTimeout{};
    /// Sent for the refusal instead of what CallerHandlers::ownResponse makes of it.
    std::optional<OwnResponse> response = std::nullopt;
};

/// Callbacks of the connections of one listener.
struct CallerHandlers
{
    /// Starts the handling of a request; the response is written to the connection.
    std::function<void(const std::shared_ptr<CallerConnection> &, CallerRequest)> onRequest;
    /// Optional; called for requests whose bodies have not arrived with their heads.
    std::function<HeadDecision(const RequestHead &)> onHead;
    /// Called for a request that was refused before it was complete, with the response status and
    /// the error.
    std::function<void(int status, const std::string &problem)> onRejected;
    /// Optional; makes the responses to refused requests, by default plain text or none.
    std::function<OwnResponse(const Refusal &)> ownResponse;
    std::function<Contracts::CallerLimits()> limits;
    std::function<Base::Instant()> now;
    /// Whether connections close after the response in progress.
    std::function<bool()> isStopping;
    std::function<void(const std::shared_ptr<CallerConnection> &, const ConnectionEnd &)> onClosed;
    /// Memory for bytes that callers have not read; null means unlimited.
    Base::MemoryBudget *backlogs = nullptr;
    /// Memory for the bodies of requests; null means unlimited.
    Base::MemoryBudget *bodies = nullptr;
    /// Memory for the heads of requests; null means unlimited.
    Base::MemoryBudget *heads = nullptr;
    /// Receive buffer of a connection whose body is not leased; unset means that the system
    /// chooses.
    std::optional<int> receiveBytes;
    /// Retry-After of requests that do not fit.
    Base::Duration retryAfterFull = std::chrono::milliseconds(100);
};

/// One HTTP/1.1 connection from a caller. Requests are handled one after another. Reading continues
/// while a request is handled, to detect when the caller disconnects.
///
/// A connection closes in this order: a response announces the close, and nothing more is read; the
/// response ends and is written (closing); the sending side is closed, and shortly after or with
/// the caller's side the socket (closed). What a refused request still sends meanwhile is read and
/// dropped within limits, so that no reset overtakes the response. Idle connections of a daemon
/// that stops begin with the sending side. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<const CallerHandlers> handlers);

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Must be called before start(); by default, no place is taken.
    void setPlace(ConnectionLimit::Place place) { place_ = std::move(place); }
    void start();

    /// Sends a complete response to the current request.
    void respond(const ResponseHead &head, std::string_view body);
    /// Starts a response whose body follows with write().
    void beginResponse(const ResponseHead &head, Framing framing);
    void write(std::string_view bytes);
    void endResponse();
    /// Closes the connection, so that the caller detects an incomplete response.
    void abort();

    /// Bytes that are not yet written to the socket.
    std::size_t pendingBytes() const { return outgoing_.size() + writing_.size(); }
    /// Whether memory is left for that many more bytes that the caller has not read.
    bool mayBuffer(std::size_t bytes) const { return backlog_.mayGrow(bytes); }
    /// Called once when pendingBytes() drops to zero.
    void onceDrained(std::function<void()> callback) { onDrained_ = std::move(callback); }
    /// Called if the caller disconnects before the end of the response.
    void onceDisconnected(std::function<void()> callback) { onDisconnected_ = std::move(callback); }

    bool isBusy() const { return isHandling_; }
    /// Since when the connection has waited for a request to be complete.
    Base::Instant waitingSince() const { return waitingSince_; }
    /// When the write in progress began.
    std::optional<Base::Instant> writeBegun() const { return writeBegun_; }
    bool isClosed() const { return isClosed_; }
    /// Closes the connection unless a request is being received or handled.
    void closeIfIdle();
    /// Closes the connection, as its place is needed. Returns false if it is idle and the next
    /// request arrives.
    bool closeForOthers();

private:
    void read();
    void waitUntilReadable();
    void onReadable(const std::error_code &error);
    void receive();
    void detectDisconnect();
    void drain();
    void parse();
    void parseNext();
    void dispatchRequest();
    void setResetOnClose(bool isReset);
    void setReceiveBytes(int bytes);
    void onBodyBegun();
    void continueBody();
    void takeBody();
    void dropBody();
    bool leaseBody(std::size_t arrived);
    void reserveBody(std::size_t needed);
    bool leaseHead();
    bool mayReadAhead() const;
    void refuseHead();
    void refuseBody(const Refusal &refusal, const OwnResponse &response);
    Refusal bodiesFull() const;
    void reject();
    void refuse(const OwnResponse &response);
    OwnResponse ownResponse(const Refusal &refusal) const;
    void refuseUnread(int status, const std::string &problem);
    void sendContinueIfExpected();
    void finishResponse();
    void flush();
    void leaseBacklog();
    void onWritten(const std::error_code &error);
    void armTimer();
    void onTimer();
    void closeAfterWrites(CloseReason reason);
    void awaitQuiet();
    bool isIdle() const;
    std::size_t unreadBytes() const;
    void close(CloseReason reason);
    ConnectionEnd describeEnd(CloseReason reason) const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<const CallerHandlers> handlers_;
    MessageParser parser_{MessageParser::Kind::Request};
    /// Received bytes that are not parsed yet.
    std::string incoming_;
    std::string outgoing_;
    std::string writing_;
    ConnectionLimit::Place place_;
    Base::MemoryLease backlog_;
    std::shared_ptr<Base::MemoryBudget::Holder> headHolder_;
    /// For the head that arrives, and for what is read behind the request in progress.
    Base::MemoryLease headLease_;
    std::string body_;
    std::shared_ptr<Base::MemoryBudget::Holder> bodyHolder_;
    /// For the body that arrives.
    Base::MemoryLease bodyLease_;
    /// When the body has to be complete.
    std::optional<Base::Instant> bodyDue_;
    std::function<void()> onDrained_;
    std::function<void()> onDisconnected_;
    Base::Instant lastActivity_;
    Base::Instant waitingSince_;
    std::optional<Base::Instant> writeBegun_;
    std::optional<Base::Instant> messageBegun_;
    std::optional<Base::Instant> timerDue_;
    /// When the connection is closed although the caller still sends.
    Base::Instant drainDue_;
    /// Bytes of a refused request that are still read.
    std::uint64_t drainBytes_ = 0;
    Framing responseFraming_;
    CloseReason closeReason_ = CloseReason::AfterResponse;
    bool isWaiting_ = false;
    bool isHandling_ = false;
    bool isKeptAlive_ = true;
    bool isHeadRequest_ = false;
    bool isHttp11_ = true;
    bool isBodyBegun_ = false;
    /// A part of the body was dropped, as there was no memory for it.
    bool isBodyDenied_ = false;
    /// The response in progress announces that the connection closes, so no later request is read.
    bool isCloseAnnounced_ = false;
    bool isClosing_ = false;
    bool isClosed_ = false;
    bool isParsing_ = false;
};

} // namespace Proxy
