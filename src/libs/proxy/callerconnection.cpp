#include "callerconnection.h"

#include <asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Proxy {

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;

/// Bytes of later requests that are buffered while one is handled.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;

/// Time for which the rest of a refused request is read and dropped.
constexpr auto maxDrainTime = std::chrono::seconds(1);

/// Time without bytes of the caller after which the connection is closed behind its last response.
constexpr auto lingerTime = std::chrono::milliseconds(200);

std::string chunkHead(std::size_t size)
{
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   std::shared_ptr<const CallerHandlers> handlers)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , handlers_(std::move(handlers))
{
    if (handlers_->backlogs) {
        backlog_ = Base::MemoryLease(handlers_->backlogs->newHolder());
    }
    if (handlers_->heads) {
        headHolder_ = handlers_->heads->newHolder();
        headLease_ = Base::MemoryLease(headHolder_);
    }
    if (handlers_->bodies) {
        bodyHolder_ = handlers_->bodies->newHolder();
        bodyLease_ = Base::MemoryLease(bodyHolder_);
    }
}

void CallerConnection::start()
{
    std::error_code ignored; // a socket without the option still works
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    std::error_code error;
    socket_.non_blocking(true, error);
    if (error) {
        close(CloseReason::ByCaller);
        return;
    }
    lastActivity_ = handlers_->now();
    waitingSince_ = lastActivity_;
    armTimer();
    read();
}

void CallerConnection::read()
{
    const bool isFull = isHandling_ && !mayReadAhead();
    if (!isWaiting_ && !isClosed_ && !isClosing_ && !isFull) {
        waitUntilReadable();
    }
}

/// Whether bytes behind the request in progress are read.
bool CallerConnection::mayReadAhead() const
{
    return incoming_.size() < maxPipelinedBytes
           && (incoming_.empty() || headLease_.mayGrow(2 * readBufferBytes));
}

/// Bytes are taken from the socket only when they are handled: an asynchronous read could complete
/// behind a response that announces the end of the connection.
void CallerConnection::waitUntilReadable()
{
    isWaiting_ = true;
    auto self = shared_from_this();
    socket_.async_wait(asio::socket_base::wait_read, [self](const std::error_code &error) {
        self->isWaiting_ = false;
        if (!self->isClosed_) {
            self->onReadable(error);
        }
    });
}

void CallerConnection::onReadable(const std::error_code &error)
{
    if (error) {
        close(isClosing_ ? closeReason_ : CloseReason::ByCaller);
    } else if (isClosing_ && drainBytes_ > 0) {
        drain();
    } else if (isCloseAnnounced_ || (isHandling_ && handlers_->isStopping())) {
        detectDisconnect();
    } else {
        receive();
    }
}

void CallerConnection::receive()
{
    std::array<char, readBufferBytes> buffer{};
    std::error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close(CloseReason::ByCaller);
        return;
    }
    if (!error) {
        lastActivity_ = handlers_->now();
        place_.progressed();
        incoming_.append(buffer.data(), size);
        parse();
    }
    read();
}

/// Bytes of a later request stay unread, as the connection may end before it is handled: a caller
/// whose request was not read may repeat it.
void CallerConnection::detectDisconnect()
{
    std::array<char, 1> next{};
    std::error_code error;
    socket_.receive(asio::buffer(next), asio::socket_base::message_peek, error);
    if (error && error != asio::error::would_block) {
        close(isClosing_ ? closeReason_ : CloseReason::ByCaller);
    }
}

void CallerConnection::parse()
{
    if (isParsing_) {
        return;
    }
    isParsing_ = true;
    while (!isHandling_ && !isClosed_ && !isClosing_ && !incoming_.empty()) {
        parseNext();
    }
    if (incoming_.empty()) {
        std::string().swap(incoming_); // the connection may stay open for long
    }
    isParsing_ = false;
    if (isHandling_) {
        // The bytes were read already.
        headLease_.forceResize(incoming_.empty() ? 0 : incoming_.capacity());
    }
}

void CallerConnection::parseNext()
{
    if (parser_.state() == ParseState::Empty) {
        const Contracts::CallerLimits limits = handlers_->limits();
        parser_.setLimits({limits.headBytes, limits.bodyBytes});
    }
    incoming_.erase(0, parser_.feed(incoming_));
    takeBody();
    if (parser_.state() != ParseState::Empty && !messageBegun_) {
        messageBegun_ = lastActivity_;
        armTimer();
    }
    if (parser_.state() == ParseState::Failed) {
        reject();
    } else if (parser_.state() == ParseState::Complete) {
        dispatchRequest();
    } else if (parser_.state() == ParseState::Body) {
        continueBody();
    } else if (!leaseHead()) {
        refuseHead();
    }
}

void CallerConnection::dispatchRequest()
{
    CallerRequest request;
    const bool isHeadLeased = isBodyBegun_ || leaseHead();
    request.head = parser_.takeRequest();
    request.body = std::exchange(body_, {});
    const bool isLeased = isHeadLeased && !isBodyDenied_
                          && (isBodyBegun_ || bodyLease_.resize(request.body.size()));
    request.headLease = std::exchange(headLease_, Base::MemoryLease(headHolder_));
    request.bodyLease = std::exchange(bodyLease_, Base::MemoryLease(bodyHolder_));
    request.arrivedAt = handlers_->now();
    parser_.reset();
    messageBegun_.reset();
    bodyDue_.reset();
    if (isBodyBegun_ && handlers_->receiveBytes) {
        setReceiveBytes(*handlers_->receiveBytes);
    }
    isBodyBegun_ = false;
    isBodyDenied_ = false;
    isHandling_ = true;
    place_.requestBegun();
    isKeptAlive_ = request.head.isKeepAlive;
    isHeadRequest_ = request.head.method == "HEAD";
    isHttp11_ = request.head.isHttp11;
    if (!isKeptAlive_) {
        incoming_.clear(); // no request may follow one that asks to close
    }
    if (!isLeased) {
        const Refusal refusal = bodiesFull();
        handlers_->onRejected(refusal.status, refusal.detail);
        const OwnResponse response = ownResponse(refusal);
        respond(response.head, response.body);
        return;
    }
    handlers_->onRequest(shared_from_this(), std::move(request));
}

void CallerConnection::respond(const ResponseHead &head, std::string_view body)
{
    Framing framing;
    framing.length = body.size();
    beginResponse(head, framing);
    write(body);
    endResponse();
}

void CallerConnection::beginResponse(const ResponseHead &head, Framing framing)
{
    if (isClosed_) {
        return;
    }
    // A request that has arrived already is handled before the connection closes.
    if (handlers_->isStopping() && incoming_.empty() && unreadBytes() == 0) {
        isKeptAlive_ = false;
    }
    if (framing.kind == BodyFraming::Chunked && !isHttp11_) {
        framing.kind = BodyFraming::UntilClose;
    }
    if (framing.kind == BodyFraming::UntilClose) {
        isKeptAlive_ = false;
    }
    if (!isKeptAlive_) {
        isCloseAnnounced_ = true;
    }
    if (framing.kind == BodyFraming::UntilClose) {
        setResetOnClose(true);
    }
    responseFraming_ = framing;
    outgoing_ += serializeResponse(head, framing, isKeptAlive_);
    flush();
}

void CallerConnection::write(std::string_view bytes)
{
    if (isClosed_ || bytes.empty() || isHeadRequest_) {
        return;
    }
    if (responseFraming_.kind == BodyFraming::Chunked) {
        outgoing_ += chunkHead(bytes.size());
        outgoing_ += bytes;
        outgoing_ += "\r\n";
    } else {
        outgoing_ += bytes;
    }
    flush();
}

void CallerConnection::endResponse()
{
    if (isClosed_) {
        return;
    }
    if (responseFraming_.kind == BodyFraming::Chunked && !isHeadRequest_) {
        outgoing_ += "0\r\n\r\n";
    } else if (responseFraming_.kind == BodyFraming::UntilClose) {
        setResetOnClose(false);
    }
    finishResponse();
    flush();
}

void CallerConnection::finishResponse()
{
    isHandling_ = false;
    onDisconnected_ = nullptr;
    onDrained_ = nullptr;
    lastActivity_ = handlers_->now();
    waitingSince_ = lastActivity_;
    if (isCloseAnnounced_) {
        isClosing_ = true;
        return;
    }
    armTimer();
    if (incoming_.empty() && isWaiting_) {
        return;
    }
    // Start the next request from the event loop, not from within the current one.
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self] {
        self->parse();
        self->read();
    });
}

void CallerConnection::abort()
{
    onDisconnected_ = nullptr;
    onDrained_ = nullptr;
    close(CloseReason::ResponseAborted);
}

/// The regular end of the connection completes a response that is framed by it. Until then the
/// system resets the connection if it closes, also if the process is killed.
void CallerConnection::setResetOnClose(bool isReset)
{
    std::error_code ignored; // nothing can be done if the option is not supported
    socket_.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

/// The system does not enlarge the window of a connection by itself once its buffer is set.
void CallerConnection::setReceiveBytes(int bytes)
{
    using Window = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_WINDOW_CLAMP>;
    std::error_code ignored; // a smaller buffer works, too
    socket_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
    socket_.set_option(Window(bytes), ignored);
}

/// The bytes were read from the server already, so they cannot be refused.
void CallerConnection::leaseBacklog()
{
    backlog_.forceResize(outgoing_.capacity() + writing_.capacity());
}

void CallerConnection::flush()
{
    leaseBacklog();
    if (isClosed_ || !writing_.empty()) {
        return;
    }
    if (outgoing_.empty()) {
        if (auto drained = std::exchange(onDrained_, nullptr)) {
            drained();
        }
        if (!isHandling_ && outgoing_.empty()) {
            place_.requestEnded();
        }
        if (isClosing_ && outgoing_.empty()) {
            closeAfterWrites(CloseReason::AfterResponse);
        }
        return;
    }
    writing_ = std::exchange(outgoing_, {});
    writeBegun_ = handlers_->now();
    auto self = shared_from_this();
    asio::async_write(
        socket_, asio::buffer(writing_), [self](const std::error_code &error, std::size_t) {
            self->onWritten(error);
        });
}

void CallerConnection::onWritten(const std::error_code &error)
{
    std::string().swap(writing_); // an assignment would keep the buffer
    writeBegun_.reset();
    leaseBacklog();
    if (isClosed_) {
        return;
    }
    if (error) {
        close(CloseReason::ByCaller);
        return;
    }
    flush();
}

/// Closes the sending side first, and the socket after a delay in which the caller can read the
/// response: an immediate close with unread bytes on the socket would reset the connection.
void CallerConnection::closeAfterWrites(CloseReason reason)
{
    isClosing_ = true;
    closeReason_ = reason;
    isCloseAnnounced_ = true;
    place_.setEnding();
    std::error_code ignored; // the connection is closed either way
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    lastActivity_ = handlers_->now();
    drainDue_ = lastActivity_ + maxDrainTime;
    awaitQuiet();
    if (!isWaiting_) {
        waitUntilReadable();
    }
}

void CallerConnection::awaitQuiet()
{
    const Base::Instant due = std::min(lastActivity_ + lingerTime, drainDue_);
    timer_.expires_after(std::max(Base::Duration::zero(), due - handlers_->now()));
    auto self = shared_from_this();
    timer_.async_wait([self, due](const std::error_code &error) {
        if (error || self->isClosed_) {
            return;
        }
        if (due < std::min(self->lastActivity_ + lingerTime, self->drainDue_)) {
            self->awaitQuiet(); // bytes were read meanwhile
        } else {
            self->close(self->closeReason_);
        }
    });
}

void CallerConnection::armTimer()
{
    const Contracts::CallerLimits limits = handlers_->limits();
    const Base::Instant now = handlers_->now();
    Base::Instant due = lastActivity_ + limits.idleTimeout;
    if (messageBegun_) {
        due = std::min(due, *messageBegun_ + limits.headTimeout);
    }
    if (bodyDue_) {
        due = std::min(due, *bodyDue_);
    }
    // An early timeout arms the timer again; moving it with every request would cost more.
    if (timerDue_ && *timerDue_ <= due) {
        return;
    }
    timerDue_ = due;
    timer_.expires_after(std::max(Base::Duration::zero(), due - now));
    auto self = shared_from_this();
    timer_.async_wait([self](const std::error_code &error) {
        if (!error && !self->isClosed_) {
            self->timerDue_.reset();
            self->onTimer();
        }
    });
}

void CallerConnection::onTimer()
{
    if (isHandling_ || isClosing_) {
        return; // the timer is armed again at the end of the response
    }
    const Contracts::CallerLimits limits = handlers_->limits();
    const Base::Instant now = handlers_->now();
    const bool isHeadLate = messageBegun_ && parser_.state() == ParseState::Head
                            && now >= *messageBegun_ + limits.headTimeout;
    const bool isQuiet = now >= lastActivity_ + limits.idleTimeout;
    const bool isBodyLate = bodyDue_ && now >= *bodyDue_;
    if (isHeadLate || isBodyLate || (isQuiet && messageBegun_)) {
        refuseUnread(408, "request was not received before the timeout");
        return;
    }
    if (isQuiet && unreadBytes() > 0) {
        lastActivity_ = now; // the bytes are read next
    } else if (isQuiet) {
        close(CloseReason::IdleTimeout);
        return;
    }
    if (messageBegun_ && parser_.state() == ParseState::Body) {
        messageBegun_ = now; // the head was in time; only the idle timeout applies to the body
    }
    armTimer();
}

bool CallerConnection::isIdle() const
{
    return !isHandling_ && !isClosing_ && parser_.state() == ParseState::Empty && incoming_.empty()
           && pendingBytes() == 0 && unreadBytes() == 0;
}

/// Bytes that have arrived while the handlers of earlier events ran.
std::size_t CallerConnection::unreadBytes() const
{
    std::error_code error;
    const std::size_t size = socket_.available(error);
    return error ? 0 : size;
}

void CallerConnection::closeIfIdle()
{
    if (isIdle()) {
        closeAfterWrites(CloseReason::Shutdown);
    }
}

bool CallerConnection::closeForOthers()
{
    if (isIdle() || parser_.state() != ParseState::Empty || isClosing_) {
        close(isClosing_ ? closeReason_ : CloseReason::ForOthers);
        return true;
    }
    return false;
}

/// Bytes behind the last handled request begin a new message, as each is parsed from its first
/// byte.
ConnectionEnd CallerConnection::describeEnd(CloseReason reason) const
{
    ConnectionEnd end;
    end.reason = reason;
    end.unhandledBytes = incoming_.size();
    end.unreadBytes = unreadBytes();
    end.unsentBytes = pendingBytes();
    if (incoming_.empty()) {
        return end;
    }
    std::string_view rest = incoming_;
    MessageParser parser(MessageParser::Kind::Request);
    while (!rest.empty() && parser.state() != ParseState::Failed) {
        rest.remove_prefix(parser.feed(rest));
        if (parser.state() == ParseState::Complete) {
            ++end.unhandledRequests;
            parser.reset();
        }
    }
    return end;
}

void CallerConnection::close(CloseReason reason)
{
    if (isClosed_) {
        return;
    }
    isClosed_ = true;
    const ConnectionEnd end = describeEnd(reason);
    dropBody();
    headLease_.release();
    place_.release();
    timer_.cancel();
    std::error_code ignored; // nothing can be done if the close fails
    socket_.close(ignored);
    const auto self = shared_from_this();
    onDrained_ = nullptr;
    if (auto onDisconnected = std::exchange(onDisconnected_, nullptr)) {
        onDisconnected();
    }
    handlers_->onClosed(self, end);
}

} // namespace Proxy
