#include "soakcaller.h"

#include <array>

namespace Soak {

namespace {

constexpr int maxEvents = 12;
constexpr int maxRequests = 10;
/// Attempts to resume one stream; a daemon is started again within 1.2 s.
constexpr int maxResumptions = 6;
constexpr auto requestTimeout = std::chrono::milliseconds(2500);

const char *pathOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Turn:
        return "/turns/x";
    case RequestKind::KeptTurn:
        return "/kept/x";
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
    , timeoutTimer_(context)
{}

void SoakCaller::start()
{
    startProgram();
}

void SoakCaller::runAfter(std::chrono::milliseconds duration, std::function<void()> next)
{
    timer_.expires_after(duration);
    timer_.async_wait(
        [self = shared_from_this(), next = std::move(next)](const std::error_code &error) {
            if (!error && !self->isStopping_) {
                next();
            }
        });
}

/// One program in five is a runaway whose budget does not cover all of its turns.
void SoakCaller::startProgram()
{
    program_ = name_ + "-" + std::to_string(++lastProgram_);
    requestsLeft_ = 1 + static_cast<int>(random_.below(maxRequests));
    const std::int64_t maxProgramTokens = std::int64_t(maxRequests) * maxEvents * tokensPerEvent;
    budget_ = random_.chance(0.2) ? maxProgramTokens / 4 : 3 * maxProgramTokens / 2;
    // Half of the programs continue a turn that any program of the team has run before.
    const std::vector<KeptChain> &chains = ledger_.keptChains(team_);
    chain_ = {};
    if (!chains.empty() && random_.chance(0.5)) {
        chain_ = chains[random_.below(chains.size())];
    }
    startRequest();
}

void SoakCaller::startRequest()
{
    if (requestsLeft_-- <= 0) {
        runAfter(std::chrono::milliseconds(random_.below(60)), [this] { startProgram(); });
        return;
    }
    constexpr std::array<RequestKind, 5> kinds{RequestKind::Turn,
                                               RequestKind::KeptTurn,
                                               RequestKind::KeptTurn,
                                               RequestKind::Lookup,
                                               RequestKind::Order};
    send(makeRequest(kinds[random_.below(kinds.size())]));
}

SoakCaller::ActiveRequest SoakCaller::makeRequest(RequestKind kind)
{
    ActiveRequest request;
    request.id = name_ + "-" + std::to_string(++lastRequest_);
    request.kind = kind;
    const std::string events = std::to_string(1 + random_.below(maxEvents)) + " events";
    if (kind == RequestKind::Turn) {
        request.body = events;
    } else if (kind == RequestKind::KeptTurn) {
        constexpr std::size_t maxChainBytes = 100'000;
        request.previous = chain_.content.size() > maxChainBytes ? KeptChain{} : chain_;
        request.body = events + " after " + request.previous.turn;
    } else if (kind == RequestKind::Order) {
        request.body = "order " + request.id;
    }
    return request;
}

void SoakCaller::send(ActiveRequest request)
{
    Gateway gateway;
    if (!connection_) {
        gateway = entry_.selectDaemon();
        daemon_ = gateway.daemon;
    }
    Attempt attempt;
    attempt.daemon = daemon_;
    attempt.kind = request.kind;
    attempt.team = team_;
    attempt.key = entry_.currentKey(team_);
    attempt.target = pathOf(request.kind);
    attempt.body = request.previous.content + request.body;
    attempt.sentAt = entry_.now();
    ledger_.attemptSent(request.id, attempt);
    const std::string bytes = serialize(request, attempt);
    active_ = std::move(request);
    timeoutTimer_.expires_after(requestTimeout);
    timeoutTimer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error && self->active_) {
            self->finish();
        }
    });
    if (connection_) {
        transmit(bytes);
        return;
    }
    connection_ = std::make_shared<Proxy::ClientConnection>(context_, gateway.address);
    connection_->connect(std::chrono::seconds(1),
                         [self = shared_from_this(), bytes](const std::string &problem) {
                             self->onConnected(problem, bytes);
                         });
}

std::string SoakCaller::serialize(const ActiveRequest &request, const Attempt &attempt)
{
    Proxy::RequestHead head;
    head.method = request.kind == RequestKind::Lookup ? "GET" : "POST";
    head.target = attempt.target;
    head.headers.add("Host", "soak.example");
    head.headers.add("X-Attempt-Id", request.id);
    head.headers.add("X-Program-Id", program_);
    head.headers.add("X-Session-Id", program_ + "/s");
    head.headers.add("X-Deadline-Ms", std::to_string(requestTimeout.count()));
    head.headers.add("Authorization", "Bearer " + attempt.key);
    head.headers.add("X-Tenant", "forged");
    if (!request.previous.turn.empty()) {
        head.headers.add("X-Previous-Turn", request.previous.turn);
    }
    // Callers may leave out the attempt that brought the first event. Not drawn, so that the seeds
    // of earlier failures run the same faults.
    if (request.isResumption && Base::hash64(request.id) % 2 == 0) {
        head.headers.add("Resumes", request.resumedAttempt);
    }
    if (request.isResumption) {
        head.headers.add("Last-Event-Id", std::to_string(request.earlierEvents));
    }
    if (request.kind == RequestKind::Turn || request.kind == RequestKind::KeptTurn) {
        head.headers.add("X-Token-Budget", std::to_string(budget_));
        head.headers.add("X-Token-Count",
                         "100," + std::to_string(eventCount(request.body) * tokensPerEvent));
    }
    return Proxy::serializeRequest(head, request.body.size()) + request.body;
}

void SoakCaller::onConnected(const std::string &problem, const std::string &bytes)
{
    if (!active_) {
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
        self->active_->status = head.status;
        const auto id = head.headers.find("X-Attempt-Id");
        if (id && *id != self->active_->id) {
            self->ledger_.recordViolation(
                "mixed", self->active_->id + " received the response to " + std::string(*id));
        }
        return Proxy::HeadVerdict::Accept;
    };
    handlers.onBody = [self](const std::string &part) { self->active_->received += part; };
    handlers.onEnd = [self](Proxy::ResponseEnd end, const std::string &problem) {
        if (end == Proxy::ResponseEnd::Broken) {
            self->ledger_.recordViolation("mixed", self->active_->id + " received " + problem);
        }
        self->active_->isCut = end == Proxy::ResponseEnd::Disconnected;
        self->active_->isComplete = end == Proxy::ResponseEnd::Complete;
        self->finish();
    };
    connection_->send(bytes, false, std::move(handlers));
}

/// Called when the response is complete, was cut short or has timed out.
void SoakCaller::finish()
{
    timeoutTimer_.cancel();
    ActiveRequest request = *std::exchange(active_, std::nullopt);
    const int events = checkResponse(request);
    const bool isReused = request.isComplete && connection_->isReusable();
    if (!isReused) {
        connection_->close();
        connection_.reset();
    } else {
        connection_->watchIdle([self = shared_from_this()] {
            if (!self->active_) {
                self->connection_.reset();
            }
        });
    }
    if (request.status == 402) {
        requestsLeft_ = 0;
    }
    const bool isBrokenOff = request.kind == RequestKind::Turn && request.status == 200
                             && !request.isComplete && events > 0
                             && events < eventCount(request.body);
    if (isBrokenOff) {
        constexpr std::uint64_t maxResumeDelayMs = 200;
        runAfter(std::chrono::milliseconds(1 + random_.below(maxResumeDelayMs)),
                 [this, request, events] { resume(request, events); });
        return;
    }
    const bool isRefused = request.status == 429 || request.status == 503 || request.status == 0;
    if (isRefused && request.isResumption && request.resumptions < maxResumptions) {
        constexpr std::uint64_t maxRepetitionDelayMs = 600;
        runAfter(std::chrono::milliseconds(1 + random_.below(maxRepetitionDelayMs)),
                 [this, request] { resume(request, request.earlierEvents); });
        return;
    }
    const int maxDelayMs = isRefused ? 300 : 30;
    const auto delay
        = std::chrono::milliseconds(1 + random_.below(static_cast<std::uint64_t>(maxDelayMs)));
    // Not drawn, so that the seeds of earlier failures run the same faults.
    if (isReused && !isStopping_ && Base::hash64(request.id, 1) % 2 == 0) {
        startRequest();
        return;
    }
    runAfter(delay, [this] { startRequest(); });
}

void SoakCaller::resume(const ActiveRequest &broken, int events)
{
    ActiveRequest request;
    request.id = name_ + "-" + std::to_string(++lastRequest_);
    request.kind = broken.kind;
    request.body = broken.body;
    request.isResumption = true;
    request.resumptions = broken.resumptions + 1;
    request.resumedAttempt = broken.resumedAttempt.empty() ? broken.id : broken.resumedAttempt;
    request.earlierEvents = events;
    request.version = broken.version;
    send(std::move(request));
}

int SoakCaller::checkResponse(ActiveRequest &request)
{
    int events = 0;
    const bool isStream
        = request.kind == RequestKind::Turn || request.kind == RequestKind::KeptTurn;
    if (isStream && request.status == 200) {
        events = checkStream(request);
        recordKeptTurn(request);
    } else if (request.status == 200 && request.isComplete
               && request.received != plainResponse(request.id)) {
        ledger_.recordViolation("mixed",
                                request.id + " received a wrong response: " + request.received);
    }
    if (request.isResumption) {
        ledger_.recordResumption(request.status == 200);
    }
    ledger_.attemptFinished(request.id, request.isComplete ? request.status : 0, entry_.now());
    if (request.isCut) {
        ledger_.requestCut(request.id, request.status != 0, entry_.now());
    }
    return events;
}

/// A turn counts once its response has ended.
void SoakCaller::recordKeptTurn(const ActiveRequest &request)
{
    if (request.kind != RequestKind::KeptTurn || !request.isComplete) {
        return;
    }
    chain_.turn = request.id;
    chain_.content = request.previous.content + request.body;
    const int events = eventCount(request.body);
    for (int i = 1; i <= events; ++i) {
        chain_.content += eventData(program_ + "/s", i);
    }
    ledger_.turnKept(team_, chain_);
}

/// Checks that each event arrives once, in order and from one software version, and that a stream
/// that ended normally is complete.
int SoakCaller::checkStream(ActiveRequest &request)
{
    const std::string session = program_ + "/s";
    int events = request.earlierEvents;
    if (request.kind == RequestKind::Turn && request.version.empty()) {
        for (const char *version : {"v1", "v2"}) {
            const std::string first = eventText(session, events + 1, version);
            request.version = request.received.starts_with(first) ? version : request.version;
        }
    }
    std::size_t offset = 0;
    for (std::string next = eventText(session, events + 1, request.version);
         request.received.compare(offset, next.size(), next) == 0;
         next = eventText(session, events + 1, request.version)) {
        offset += next.size();
        ++events;
    }
    const int expected = eventCount(request.body);
    ledger_.tokensDelivered(program_,
                            std::int64_t(events - request.earlierEvents) * tokensPerEvent,
                            budget_,
                            std::int64_t(maxEvents) * tokensPerEvent);
    if (offset != request.received.size()) {
        ledger_.recordViolation("order",
                                request.id + " received after event " + std::to_string(events)
                                    + " of version " + request.version + ": "
                                    + request.received.substr(offset));
    }
    if (request.isComplete && events != expected) {
        ledger_.recordViolation("order",
                                request.id + " ended normally after " + std::to_string(events)
                                    + " of " + std::to_string(expected));
    }
    return events;
}

} // namespace Soak
