#include "soakcaller.h"

namespace Soak {

namespace {

constexpr int mostEvents = 12;
constexpr int mostRequests = 10;
constexpr auto patience = std::chrono::milliseconds(2500);

const char *pathOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Turn:
        return "/turns/x";
    case RequestKind::Order:
        return "/orders/x?y=1";
    case RequestKind::Lookup:
        break;
    }
    return "/lookups/x";
}

} // namespace

SoakCaller::SoakCaller(asio::io_context &context,
                       std::string name,
                       std::string team,
                       EntryPoint entry,
                       Ledger &ledger,
                       std::uint64_t seed)
    : context_(context)
    , name_(std::move(name))
    , team_(std::move(team))
    , entry_(std::move(entry))
    , ledger_(ledger)
    , random_(seed)
    , timer_(context)
    , patience_(context)
{}

void SoakCaller::start()
{
    nextProgram();
}

void SoakCaller::pause(std::chrono::milliseconds duration, std::function<void()> next)
{
    timer_.expires_after(duration);
    timer_.async_wait(
        [self = shared_from_this(), next = std::move(next)](const std::error_code &error) {
            if (!error && !self->isStopping_) {
                next();
            }
        });
}

/// One program in five is a runaway: its budget holds a part of its turns only.
void SoakCaller::nextProgram()
{
    program_ = name_ + "-" + std::to_string(++lastProgram_);
    requestsLeft_ = 1 + static_cast<int>(random_.below(mostRequests));
    const std::int64_t whole = std::int64_t(mostRequests) * mostEvents * tokensPerEvent;
    budget_ = random_.chance(0.2) ? whole / 4 : 3 * whole / 2;
    nextRequest();
}

void SoakCaller::nextRequest()
{
    if (requestsLeft_-- <= 0) {
        pause(std::chrono::milliseconds(random_.below(60)), [this] { nextProgram(); });
        return;
    }
    const std::uint64_t draw = random_.below(4);
    send(draw < 2 ? RequestKind::Turn : draw == 2 ? RequestKind::Lookup : RequestKind::Order);
}

void SoakCaller::send(RequestKind kind)
{
    Running request;
    request.id = name_ + "." + std::to_string(++lastRequest_);
    request.kind = kind;
    if (kind == RequestKind::Turn) {
        request.body = std::to_string(1 + random_.below(mostEvents)) + " events";
    } else if (kind == RequestKind::Order) {
        request.body = "order " + request.id;
    }
    Attempt attempt;
    attempt.kind = kind;
    attempt.team = team_;
    attempt.key = entry_.keyOf(team_);
    attempt.target = pathOf(kind);
    attempt.body = request.body;
    attempt.sentAt = entry_.now();
    ledger_.sent(request.id, attempt);
    const std::string bytes = serialize(request, attempt);
    running_ = std::move(request);
    patience_.expires_after(patience);
    patience_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error && self->running_) {
            self->finish();
        }
    });
    if (connection_) {
        transmit(bytes);
        return;
    }
    connection_ = std::make_shared<Proxy::ClientConnection>(context_, entry_.choose());
    connection_->connect(std::chrono::seconds(1),
                         [self = shared_from_this(), bytes](const std::string &problem) {
                             self->onConnected(problem, bytes);
                         });
}

std::string SoakCaller::serialize(const Running &request, const Attempt &attempt)
{
    Proxy::RequestHead head;
    head.method = request.kind == RequestKind::Lookup ? "GET" : "POST";
    head.target = attempt.target;
    head.headers.add("Host", "soak.example");
    head.headers.add("X-Attempt-Id", request.id);
    head.headers.add("X-Program-Id", program_);
    head.headers.add("X-Session-Id", program_ + "/s");
    head.headers.add("X-Deadline-Ms", std::to_string(patience.count()));
    head.headers.add("Authorization", "Bearer " + attempt.key);
    head.headers.add("X-Tenant", "forged");
    if (request.kind == RequestKind::Turn) {
        head.headers.add("X-Token-Budget", std::to_string(budget_));
        head.headers.add("X-Token-Count",
                         "100," + std::to_string(eventsOf(request.body) * tokensPerEvent));
    }
    return Proxy::serializeRequest(head, request.body.size()) + request.body;
}

void SoakCaller::onConnected(const std::string &problem, const std::string &bytes)
{
    if (!running_) {
        return;
    }
    if (!problem.empty()) {
        finish();
        return;
    }
    transmit(bytes);
}

void SoakCaller::transmit(const std::string &bytes)
{
    auto self = shared_from_this();
    Proxy::ClientConnection::Handlers handlers;
    handlers.onHead = [self](const Proxy::ResponseHead &head, const Proxy::Framing &) {
        self->running_->status = head.status;
        const auto id = head.headers.find("X-Attempt-Id");
        if (id && *id != self->running_->id) {
            self->ledger_.broken("mixed",
                                 self->running_->id + " got the answer to " + std::string(*id));
        }
        return Proxy::HeadVerdict::Accept;
    };
    handlers.onBody = [self](const std::string &part) { self->running_->received += part; };
    handlers.onEnd = [self](Proxy::ResponseEnd end, const std::string &) {
        self->running_->isWhole = end == Proxy::ResponseEnd::Complete;
        self->finish();
    };
    connection_->send(bytes, false, std::move(handlers));
}

/// The answer is whole, broken off, or no longer waited for.
void SoakCaller::finish()
{
    patience_.cancel();
    const Running request = *std::exchange(running_, std::nullopt);
    judge(request);
    const bool isKept = request.isWhole && connection_->isReusable();
    if (!isKept) {
        connection_->close();
        connection_.reset();
    } else {
        connection_->watchIdle([self = shared_from_this()] {
            if (!self->running_) {
                self->connection_.reset();
            }
        });
    }
    if (request.status == 402) {
        requestsLeft_ = 0;
    }
    const bool isRefused = request.status == 429 || request.status == 503 || request.status == 0;
    const int longest = isRefused ? 300 : 30;
    pause(std::chrono::milliseconds(1 + random_.below(static_cast<std::uint64_t>(longest))),
          [this] { nextRequest(); });
}

void SoakCaller::judge(const Running &request)
{
    if (request.kind == RequestKind::Turn && request.status == 200) {
        judgeStream(request);
    } else if (request.status == 200 && request.isWhole
               && request.received != plainAnswer(request.id)) {
        ledger_.broken("mixed", request.id + " got another answer: " + request.received);
    }
    ledger_.answered(request.id, request.isWhole ? request.status : 0);
}

/// Every event comes once and in order, and a stream that looks whole is.
void SoakCaller::judgeStream(const Running &request)
{
    const std::string session = program_ + "/s";
    std::size_t at = 0;
    int events = 0;
    for (std::string next = eventText(session, 1);
         request.received.compare(at, next.size(), next) == 0;
         next = eventText(session, events + 1)) {
        at += next.size();
        ++events;
    }
    const int most = eventsOf(request.body);
    ledger_.handed(program_,
                   std::int64_t(events) * tokensPerEvent,
                   budget_,
                   std::int64_t(mostEvents) * tokensPerEvent);
    if (at != request.received.size()) {
        ledger_.broken("order",
                       request.id + " got after event " + std::to_string(events) + ": "
                           + request.received.substr(at));
    }
    if (request.isWhole && events != most) {
        ledger_.broken("order",
                       request.id + " ended whole after " + std::to_string(events) + " of "
                           + std::to_string(most));
    }
}

} // namespace Soak
