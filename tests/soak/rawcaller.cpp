#include "rawcaller.h"

#include <asio/write.hpp>

namespace Soak {

namespace {

constexpr int maxEvents = 12;
constexpr auto deadline = std::chrono::milliseconds(2500);
/// A daemon answers each request before its deadline, requests on one connection one after another.
constexpr auto responseTimeout = std::chrono::milliseconds(6500);

} // namespace

RawCaller::RawCaller(asio::io_context &context,
                     Identity identity,
                     EntryPoint entry,
                     Ledger &ledger,
                     std::uint64_t seed)
    : identity_(std::move(identity))
    , entry_(std::move(entry))
    , ledger_(ledger)
    , random_(seed)
    , socket_(context)
    , timer_(context)
    , pauseTimer_(context)
    , timeoutTimer_(context)
{}

void RawCaller::sendRequests()
{
    // A timer that has expired already cannot be cancelled.
    if (isStopping_ || !pending_.empty()) {
        return;
    }
    Gateway gateway;
    if (!isOpen_) {
        gateway = entry_.selectDaemon();
        daemon_ = gateway.daemon;
    }
    std::string bytes = addRequest(identity_.habit != Habit::SlowReading && random_.chance(0.5)
                                       ? RequestKind::Turn
                                       : RequestKind::Lookup);
    if (identity_.habit == Habit::Pipelining) {
        bytes += addRequest(random_.chance(0.5) ? RequestKind::Order : RequestKind::Lookup);
    }
    hasAnswer_ = false;
    hasPaused_ = identity_.habit != Habit::SlowReading;
    timeoutTimer_.expires_after(responseTimeout);
    timeoutTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error) {
            self->onTimeout();
        }
    });
    if (isOpen_) {
        transmit(bytes);
    } else {
        connect(gateway.address, std::move(bytes));
    }
}

/// Returns the bytes of the request.
std::string RawCaller::addRequest(RequestKind kind)
{
    PendingRequest request;
    request.id = identity_.name + "-" + std::to_string(++lastRequest_);
    request.kind = kind;
    request.target = "/lookups/x";
    if (identity_.habit == Habit::SlowReading) {
        request.target = largeTarget;
    } else if (kind == RequestKind::Turn) {
        request.target = "/turns/x";
        request.body = std::to_string(1 + random_.below(maxEvents)) + " events";
    } else if (kind == RequestKind::Order) {
        request.target = "/orders/x";
        request.body = "order " + request.id;
    }
    Attempt attempt;
    attempt.kind = kind;
    attempt.team = identity_.team;
    attempt.key = entry_.currentKey(identity_.team);
    attempt.target = request.target;
    attempt.body = request.body;
    attempt.sentAt = entry_.now();
    attempt.daemon = daemon_;
    ledger_.attemptSent(request.id, attempt);

    Proxy::RequestHead head;
    head.method = kind == RequestKind::Lookup ? "GET" : "POST";
    head.target = request.target;
    head.headers.add("Host", "soak.example");
    head.headers.add("X-Attempt-Id", request.id);
    head.headers.add("X-Session-Id", request.id);
    head.headers.add("X-Deadline-Ms", std::to_string(deadline.count()));
    head.headers.add("Authorization", "Bearer " + attempt.key);
    std::string bytes = Proxy::serializeRequest(head, request.body.size()) + request.body;
    if (identity_.habit == Habit::Http10) {
        const std::string version = "HTTP/1.1";
        bytes.replace(bytes.find(version), version.size(), "HTTP/1.0");
    }
    pending_.push_back(std::move(request));
    return bytes;
}

void RawCaller::connect(const asio::ip::tcp::endpoint &address, std::string bytes)
{
    std::error_code ignored; // the next operation on the socket fails
    socket_.close(ignored);
    socket_.open(address.protocol(), ignored);
    if (identity_.habit == Habit::SlowReading) {
        constexpr int smallBuffer = 8192;
        socket_.set_option(asio::socket_base::receive_buffer_size(smallBuffer), ignored);
    }
    auto self = shared_from_this();
    socket_.async_connect(address,
                          [self, bytes = std::move(bytes), number = ++connectionNumber_](
                              const std::error_code &error) {
                              if (number != self->connectionNumber_) {
                                  return;
                              }
                              if (error) {
                                  self->endConnection(false);
                                  return;
                              }
                              self->isOpen_ = true;
                              self->parser_.reset();
                              self->transmit(bytes);
                              self->read();
                          });
}

/// Reads the response even if a write fails: the daemon may have answered before it closed.
void RawCaller::transmit(const std::string &bytes)
{
    const auto data = std::make_shared<std::string>(bytes);
    asio::async_write(
        socket_, asio::buffer(*data), [data](const std::error_code &, std::size_t) {});
}

void RawCaller::read()
{
    auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self, number = connectionNumber_](const std::error_code &error, std::size_t size) {
            if (number == self->connectionNumber_) {
                self->onRead(error, size);
            }
        });
}

void RawCaller::onRead(const std::error_code &error, std::size_t size)
{
    if (error) {
        if (error == asio::error::eof && parser_.state() == Proxy::ParseState::Body) {
            parser_.finish();
        }
        if (parser_.state() == Proxy::ParseState::Complete) {
            finishResponse();
        }
        endConnection(true);
        return;
    }
    consume({buffer_.data(), size});
    if (!isOpen_) {
        return;
    }
    if (std::exchange(hasPaused_, true)) {
        read();
        return;
    }
    constexpr std::uint64_t maxPauseMs = 1000;
    pauseTimer_.expires_after(std::chrono::milliseconds(random_.below(maxPauseMs)));
    pauseTimer_.async_wait(
        [self = shared_from_this(), number = connectionNumber_](const std::error_code &) {
            if (number == self->connectionNumber_) {
                self->read();
            }
        });
}

void RawCaller::consume(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (pending_.empty()) {
            ledger_.recordViolation("mixed", identity_.name + " received bytes without a request");
            endConnection(true);
            return;
        }
        bytes.remove_prefix(parser_.feed(bytes));
        if (parser_.state() == Proxy::ParseState::Failed) {
            ledger_.recordViolation("mixed",
                                    pending_.front().id + " received " + parser_.problem());
            endConnection(true);
            return;
        }
        if (parser_.state() == Proxy::ParseState::Complete) {
            finishResponse();
        }
    }
}

void RawCaller::finishResponse()
{
    if (pending_.empty()) {
        return;
    }
    const PendingRequest request = std::move(pending_.front());
    pending_.pop_front();
    hasAnswer_ = true;
    const Proxy::ResponseHead head = parser_.takeResponse();
    const std::string body = parser_.takeBody();
    const auto id = head.headers.find("X-Attempt-Id");
    if (id && *id != request.id) {
        ledger_.recordViolation("mixed",
                                request.id + " received the response to " + std::string(*id));
    }
    if (head.status == 200 && request.kind == RequestKind::Turn) {
        checkStream(request, body);
    } else if (head.status == 200 && body != plainResponse(request.id, request.target)) {
        ledger_.recordViolation("mixed",
                                request.id + " received a wrong response of "
                                    + std::to_string(body.size()) + " bytes");
    }
    ledger_.attemptFinished(request.id, head.status, entry_.now());
    parser_.reset();
    if (!head.isKeepAlive) {
        endConnection(true);
    } else if (pending_.empty()) {
        timeoutTimer_.cancel();
        sendLater();
    }
}

void RawCaller::checkStream(const PendingRequest &request, const std::string &body)
{
    for (const char *version : {"v1", "v2"}) {
        std::string expected;
        for (int i = 1; i <= eventCount(request.body); ++i) {
            expected += eventText(request.id, i, version);
        }
        if (body == expected) {
            return;
        }
    }
    ledger_.recordViolation("order",
                            request.id + " ended normally with " + request.body + " as: " + body);
}

void RawCaller::endConnection(bool isCut)
{
    ++connectionNumber_;
    isOpen_ = false;
    timeoutTimer_.cancel();
    std::error_code ignored; // the connection is closed either way
    socket_.close(ignored);
    const bool wasRead = hasAnswer_ || parser_.state() != Proxy::ParseState::Empty;
    bool isFirst = true;
    for (const PendingRequest &request : std::exchange(pending_, {})) {
        ledger_.attemptFinished(request.id, 0, entry_.now());
        // The connection ended with the first of them; those behind it share its circumstance.
        if (isCut && std::exchange(isFirst, false)) {
            ledger_.requestCut(request.id, wasRead, entry_.now());
        }
    }
    parser_.reset();
    sendLater();
}

/// A daemon that was not disturbed answers at the deadline, or closes the connection.
void RawCaller::onTimeout()
{
    if (!isOpen_) {
        endConnection(false);
        return;
    }
    endConnection(true);
}

/// Some requests follow the response at once.
void RawCaller::sendLater()
{
    constexpr std::uint64_t maxDelayMs = 200;
    const bool isAtOnce = isOpen_ && random_.chance(0.5);
    timer_.expires_after(std::chrono::milliseconds(isAtOnce ? 0 : 1 + random_.below(maxDelayMs)));
    timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error) {
            self->sendRequests();
        }
    });
}

} // namespace Soak
