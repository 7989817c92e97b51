#include "callerconnection.h"

#include <algorithm>
#include <array>

namespace Proxy {

namespace {

/// Bytes of a refused request that are read and dropped at a time.
constexpr std::size_t dropBufferBytes = 16 * 1024;

/// Bytes of a refused request that are read and dropped: a body of the usual limit.
constexpr std::uint64_t maxDrainedBytes = 4 * 1024 * 1024;

/// Bytes of a head that are not leased: a connection may always keep them, as most heads are
/// smaller.
constexpr std::size_t freeHeadBytes = 4 * 1024;

/// Steps in which bodies without a stated length are leased.
constexpr std::size_t bodyStepBytes = 16 * 1024;

constexpr std::size_t bodyGrowthFactor = 4;

/// Receive buffer for a body whose memory is leased: unread bytes are bytes of the lease.
constexpr int leasedReceiveBytes = 64 * 1024;

int statusOf(ParseError error)
{
    switch (error) {
    case ParseError::HeadTooLarge:
        return 431;
    case ParseError::BodyTooLarge:
        return 413;
    case ParseError::None:
    case ParseError::Malformed:
        break;
    }
    return 400;
}

} // namespace

void CallerConnection::continueBody()
{
    if (!std::exchange(isBodyBegun_, true)) {
        onBodyBegun();
    } else if (isBodyDenied_) {
        refuseBody(bodiesFull(), ownResponse(bodiesFull()));
    }
}

/// Takes what has arrived of the body, unless there is no memory for it.
void CallerConnection::takeBody()
{
    const std::string arrived = parser_.takeBody();
    if (isBodyBegun_ && !leaseBody(arrived.size())) {
        isBodyDenied_ = true;
        return;
    }
    body_ += arrived;
}

/// Nothing is kept of a body whose request is refused whatever it contains. The time is bounded, as
/// a caller that sends a few bytes at a time would keep its memory for ever.
void CallerConnection::onBodyBegun()
{
    const HeadDecision decision
        = handlers_->onHead ? handlers_->onHead(parser_.request()) : HeadDecision{};
    if (decision.refusal) {
        refuseBody(*decision.refusal,
                   decision.response ? *decision.response : ownResponse(*decision.refusal));
        return;
    }
    if (!leaseHead() || !leaseBody(0)) {
        refuseBody(bodiesFull(), ownResponse(bodiesFull()));
        return;
    }
    bodyDue_ = lastActivity_ + std::max(decision.bodyTimeout, handlers_->limits().idleTimeout);
    armTimer();
    if (handlers_->receiveBytes && parser_.framing().length.value_or(0) > body_.size()) {
        setReceiveBytes(std::max(leasedReceiveBytes, *handlers_->receiveBytes));
    }
    sendContinueIfExpected();
}

/// Leases a stated length at once, so that a body that does not fit is not read, and others as they
/// arrive. The capacity counts, so the string must not choose it.
bool CallerConnection::leaseBody(std::size_t arrived)
{
    const std::optional<std::uint64_t> &length = parser_.framing().length;
    const std::size_t needed = std::max<std::size_t>(length.value_or(0), body_.size() + arrived);
    if (needed <= bodyLease_.size()) {
        return true;
    }
    const std::size_t steps = (needed + bodyStepBytes - 1) / bodyStepBytes;
    if (!bodyLease_.resize(length ? needed : steps * bodyStepBytes)) {
        return false;
    }
    if (needed > body_.capacity()) {
        reserveBody(needed);
    }
    return true;
}

/// A larger buffer takes memory only as it is filled. Few and large steps leave little to copy: at
/// most a quarter of the longest body is there twice, on one connection at a time.
void CallerConnection::reserveBody(std::size_t needed)
{
    std::size_t capacity = needed;
    if (!parser_.framing().length) {
        capacity = bodyStepBytes;
        while (capacity < needed) {
            capacity *= bodyGrowthFactor;
        }
        capacity = std::max(needed, std::min(capacity, handlers_->limits().bodyBytes));
    }
    std::string larger;
    larger.reserve(capacity);
    larger += body_;
    body_.swap(larger);
}

/// The buffers of the head count, as a parsed head may take many times the bytes that arrived.
bool CallerConnection::leaseHead()
{
    const std::size_t bytes = parser_.headBytes();
    return headLease_.resize(bytes > freeHeadBytes ? bytes : 0);
}

Refusal CallerConnection::bodiesFull() const
{
    return {503, "no_memory", "too many bodies of requests are kept", handlers_->retryAfterFull};
}

/// The rest of the head is dropped, so that it does not reset the connection before the response.
void CallerConnection::refuseHead()
{
    constexpr std::uint64_t restBytes = 64 * 1024;
    const Refusal refusal{
        503, "no_memory", "too many heads of requests are kept", handlers_->retryAfterFull};
    handlers_->onRejected(refusal.status, refusal.detail);
    isHeadRequest_ = false;
    drainBytes_ = restBytes;
    parser_.reset();
    refuse(ownResponse(refusal));
}

void CallerConnection::refuseBody(const Refusal &refusal, const OwnResponse &response)
{
    handlers_->onRejected(refusal.status, refusal.detail);
    isHeadRequest_ = parser_.request().method == "HEAD";
    isHttp11_ = parser_.request().isHttp11;
    const std::uint64_t length = parser_.framing().length.value_or(maxDrainedBytes + body_.size());
    drainBytes_ = std::min(maxDrainedBytes, length - body_.size());
    refuse(response);
}

void CallerConnection::sendContinueIfExpected()
{
    const auto expect = parser_.request().headers.find("Expect");
    if (expect && equalsIgnoringCase(*expect, "100-continue")) {
        outgoing_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
}

void CallerConnection::reject()
{
    isHeadRequest_ = false;
    if (parser_.error() == ParseError::BodyTooLarge) {
        const std::uint64_t rest = parser_.framing().length.value_or(maxDrainedBytes);
        drainBytes_
            = std::min(maxDrainedBytes, rest - std::min<std::uint64_t>(rest, incoming_.size()));
    }
    refuseUnread(statusOf(parser_.error()), parser_.problem());
}

/// For a request of which not even the head may be known.
void CallerConnection::refuseUnread(int status, const std::string &problem)
{
    handlers_->onRejected(status, problem);
    if (handlers_->ownResponse) {
        refuse(handlers_->ownResponse({status, "rejected", problem}));
        return;
    }
    ResponseHead head;
    head.status = status;
    head.reason = reasonOf(status);
    refuse({head, {}});
}

OwnResponse CallerConnection::ownResponse(const Refusal &refusal) const
{
    if (handlers_->ownResponse) {
        return handlers_->ownResponse(refusal);
    }
    return {ownResponseHead(refusal.status, refusal.retryAfter), refusal.detail + "\n"};
}

/// Responds to a request that was not read to its end, and closes the connection: where the next
/// request begins is not known.
void CallerConnection::refuse(const OwnResponse &response)
{
    std::string().swap(incoming_); // an assignment would keep the buffer
    dropBody();
    headLease_.release();
    isHandling_ = true;
    isKeptAlive_ = false;
    respond(response.head, response.body);
}

void CallerConnection::dropBody()
{
    std::string().swap(body_); // an assignment would keep the buffer
    bodyLease_.release();
}

/// Reads and drops what follows the head of a refused request, and no byte of a later one.
void CallerConnection::drain()
{
    std::array<char, dropBufferBytes> dropped{};
    const auto size
        = static_cast<std::size_t>(std::min<std::uint64_t>(dropped.size(), drainBytes_));
    std::error_code error;
    const std::size_t read = socket_.read_some(asio::buffer(dropped.data(), size), error);
    if (error && error != asio::error::would_block) {
        close(closeReason_);
        return;
    }
    if (!error) {
        drainBytes_ -= read;
        lastActivity_ = handlers_->now();
    }
    waitUntilReadable();
}

} // namespace Proxy
