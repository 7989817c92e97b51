#include "callerconnection.h"

#include <algorithm>
#include <array>

namespace Proxy {

namespace {

/// Bytes of a refused request that are read and dropped at a time.
constexpr std::size_t dropBufferBytes = 16 * 1024;

/// Bytes of a refused request that are read and dropped: a body of the usual limit.
constexpr std::uint64_t maxDrainedBytes = 4 * 1024 * 1024;

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
    if (!leaseBody(0)) {
        refuseBody(bodiesFull(), ownResponse(bodiesFull()));
        return;
    }
    bodyDue_ = lastActivity_ + std::max(decision.bodyTimeout, handlers_->limits().idleTimeout);
    armTimer();
    sendContinueIfExpected();
}

/// Leases a stated length at once, so that a body that does not fit is not read, and others in
/// steps. The capacity counts, so the string must not choose it.
bool CallerConnection::leaseBody(std::size_t arrived)
{
    const std::size_t needed
        = std::max<std::size_t>(parser_.framing().length.value_or(0), body_.size() + arrived);
    if (needed <= bodyLease_.size()) {
        return true;
    }
    const bool isLengthKnown = parser_.framing().length.has_value();
    const std::size_t capacity = isLengthKnown ? needed : needed + needed / 2;
    if (!bodyLease_.resize(capacity)) {
        return false;
    }
    std::string larger;
    larger.reserve(capacity);
    larger += body_;
    body_.swap(larger);
    return true;
}

Refusal CallerConnection::bodiesFull() const
{
    return {503, "no_memory", "too many bodies of requests are kept", handlers_->retryAfterFull};
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
    incoming_.clear();
    dropBody();
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
