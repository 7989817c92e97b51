#include "exchange.h"

#include "endpoint.h"

#include <base/random.h>

#include <array>
#include <cstdio>

namespace Proxy {

namespace {

using Contracts::RouteKind;
using Telemetry::LogLevel;

/// Time that a server needs at the least; with less left, a request is no longer offered.
constexpr Base::Duration shortestOffer = std::chrono::milliseconds(5);

std::string secondsText(Base::Duration duration)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", Base::toSeconds(duration));
    return {text.data(), static_cast<std::size_t>(length)};
}

std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

const char *nameOf(Admission::Urgency urgency)
{
    switch (urgency) {
    case Admission::Urgency::NewProgram:
        return "new_program";
    case Admission::Urgency::Started:
        return "started";
    case Admission::Urgency::ToolCall:
        break;
    }
    return "tool_call";
}

/// The key of "Authorization: Bearer KEY"; empty if there is none.
std::string_view bearerKey(const HeaderFields &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = headers.find("Authorization");
    if (!value || value->size() < scheme.size()
        || !equalsIgnoringCase(value->substr(0, scheme.size()), scheme)) {
        return {};
    }
    return trimmed(value->substr(scheme.size()));
}

} // namespace

Exchange::Exchange(PassThrough &owner,
                   std::shared_ptr<CallerConnection> caller,
                   CallerRequest request)
    : owner_(owner)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , traits_(owner.translator_.readRequest(request_.head))
    , table_(owner.table_)
    , timer_(owner.context_)
{
    ++owner_.active_;
}

void Exchange::start()
{
    auto self = shared_from_this();
    caller_->onceGone([self] { self->onCallerGone(); });
    if (!table_) {
        answerLocally(503, "no_configuration", "no routing document yet");
        return;
    }
    if (!findRoute() || !checkKey()) {
        return;
    }
    const Base::Duration patience
        = std::min(route_->timeout, traits_.patience.value_or(route_->timeout));
    deadline_ = request_.arrivedAt + patience;
    armDeadline();
    checkRate();
}

bool Exchange::findRoute()
{
    const auto host = request_.head.headers.find("Host");
    route_ = table_->findRoute(host.value_or(""), request_.head.path());
    if (!route_) {
        answerLocally(404, "no_route", "no route for the host and path");
        return false;
    }
    const std::uint64_t hash = Base::hash64(traits_.session.empty() ? traits_.id : traits_.session);
    service_ = table_->chooseService(*route_, hash);
    if (!service_) {
        answerLocally(503, "no_service", "route " + route_->id.text() + " has no known service");
        return false;
    }
    return true;
}

bool Exchange::checkKey()
{
    if (!table_->needsKey(*route_)) {
        return true;
    }
    team_ = table_->findTeamOfKey(bearerKey(request_.head.headers));
    if (!team_) {
        answerLocally(401, "unknown_key", "key is unknown or withdrawn");
        return false;
    }
    return true;
}

/// Turns carry a budget; what a program calls besides is a tool.
bool Exchange::isTurn() const
{
    return route_->programRetention && traits_.programBudget && !traits_.program.isEmpty();
}

Admission::Urgency Exchange::urgency() const
{
    if (traits_.program.isEmpty()) {
        return Admission::Urgency::Started;
    }
    if (!isTurn()) {
        return Admission::Urgency::ToolCall;
    }
    return owner_.programs_.contains(traits_.program) ? Admission::Urgency::Started
                                                      : Admission::Urgency::NewProgram;
}

void Exchange::checkRate()
{
    if (!team_) {
        checkBudget();
        return;
    }
    urgency_ = urgency();
    auto self = shared_from_this();
    owner_.controls_.takePermit(
        team_->team, urgency_, [self](const Admission::PermitVerdict &verdict) {
            self->onPermitVerdict(verdict);
        });
}

void Exchange::onPermitVerdict(const Admission::PermitVerdict &verdict)
{
    if (isEnded_) {
        if (verdict.isAdmitted) {
            owner_.controls_.returnPermit(team_->team);
        }
        return;
    }
    if (!verdict.isAdmitted) {
        answerLocally(429, "over_rate", "rate of the team is used up", verdict.retryAfter);
        return;
    }
    hasPermit_ = true;
    if (!traits_.program.isEmpty()) {
        owner_.programs_.add(traits_.program);
    }
    if (verdict.wait == Base::Duration::zero()) {
        checkBudget();
        return;
    }
    auto self = shared_from_this();
    rateTimer_.emplace(owner_.context_, verdict.wait);
    rateTimer_->async_wait([self](const std::error_code &error) {
        if (!error && !self->isEnded_) {
            self->checkBudget();
        }
    });
}

void Exchange::checkBudget()
{
    if (!isTurn()) {
        offer();
        return;
    }
    auto self = shared_from_this();
    reservation_ = owner_.controls_.reserveTokens(
        traits_, *route_->programRetention, [self](BudgetVerdict verdict) {
            self->onBudgetVerdict(verdict);
        });
}

void Exchange::onBudgetVerdict(BudgetVerdict verdict)
{
    isReserved_ = verdict == BudgetVerdict::Admitted;
    if (isEnded_) {
        settle();
        return;
    }
    switch (verdict) {
    case BudgetVerdict::Admitted:
        offer();
        break;
    case BudgetVerdict::Exhausted:
        answerLocally(402, "over_budget", "budget of the program is spent");
        break;
    case BudgetVerdict::Unavailable:
        answerLocally(503,
                      "budget_unknown",
                      "ledger of budgets can't be reached",
                      owner_.settings_.retryAfterBusy);
        break;
    }
}

void Exchange::armDeadline()
{
    auto self = shared_from_this();
    timer_.expires_after(std::max(Base::Duration::zero(), timeLeft()));
    timer_.async_wait([self](const std::error_code &error) {
        if (!error && !self->isEnded_) {
            self->onDeadline();
        }
    });
}

void Exchange::onDeadline()
{
    if (placement_) {
        owner_.placer_.requestFailed(placement_->instance, now());
    }
    if (isHeadPassed_) {
        cutOff("deadline", "time is up within the answer");
    } else if (mayHaveRun_ || (connection_ && connection_->hasSent())) {
        answerLocally(504, "deadline", "no answer in time");
    } else {
        answerLocally(503, "deadline", "no server took the request in time");
    }
}

void Exchange::onCallerGone()
{
    if (!isEnded_) {
        finish({0, "caller_gone", "caller closed the connection"});
    }
}

/// Chooses a server and sends the request there; answers if there is none.
void Exchange::offer()
{
    if (timeLeft() < shortestOffer) {
        onDeadline();
        return;
    }
    placement_ = owner_.placer_.choose(service_->id, traits_.prompt, excluded_, now());
    if (!placement_ || offers_ >= owner_.settings_.maxOffers) {
        placement_.reset();
        const std::string detail
            = offers_ == 0 ? "service has no server" : "no server took the request";
        if (mayHaveRun_) {
            answerLocally(502, "broken_answer", detail);
        } else {
            answerLocally(503, "no_server", detail, owner_.settings_.retryAfterBusy);
        }
        return;
    }
    ++offers_;
    hasPermit_ = false; // used
    connect(*placement_);
}

void Exchange::connect(const Dispatch::Placement &placement)
{
    owner_.placer_.requestSent(placement.instance, traits_.prompt);
    if (auto idle = owner_.pool_.take(placement.instance, now())) {
        sendTo(std::move(idle));
        return;
    }
    const auto endpoint = parseEndpoint(placement.address);
    if (!endpoint) {
        onNotRun("address " + placement.address + " is no IP number and port");
        return;
    }
    connection_ = std::make_shared<ClientConnection>(owner_.context_, *endpoint);
    auto self = shared_from_this();
    connection_->connect(std::min(owner_.settings_.connectTimeout, timeLeft()),
                         [self, connection = connection_](const std::string &problem) {
                             if (self->isEnded_ || self->connection_ != connection) {
                                 connection->close();
                             } else if (problem.empty()) {
                                 self->sendTo(connection);
                             } else {
                                 self->owner_.placer_.requestFailed(self->placement_->instance,
                                                                    self->now());
                                 self->onNotRun("connect: " + problem);
                             }
                         });
}

void Exchange::sendTo(std::shared_ptr<ClientConnection> connection)
{
    connection_ = std::move(connection);
    sentAt_ = now();
    heldBody_.clear();
    events_.dropPartialEvent();
    auto self = shared_from_this();
    ClientConnection::Handlers handlers;
    handlers.onHead = [self](const ResponseHead &head, const Framing &framing) {
        return self->onHead(head, framing);
    };
    handlers.onBody = [self](const std::string &bytes) { self->onBody(bytes); };
    handlers.onEnd
        = [self](ResponseEnd end, const std::string &problem) { self->onEnd(end, problem); };
    connection_->send(serializeForServer(), request_.head.method == "HEAD", std::move(handlers));
}

std::string Exchange::serializeForServer() const
{
    RequestHead head = request_.head;
    removeConnectionFields(head.headers);
    ForwardTraits forward;
    forward.server = placement_->instance.id;
    forward.team = team_ ? team_->team.id : Base::TeamId{};
    forward.timeLeft = timeLeft();
    forward.resumeAfter = events_.lastEventId();
    owner_.translator_.prepareForward(head.headers, forward);
    return serializeRequest(head, request_.body.size()) + request_.body;
}

HeadVerdict Exchange::onHead(const ResponseHead &head, const Framing &framing)
{
    const ResponseTraits answer = owner_.translator_.readResponse(head);
    if (!answer.id.empty() && answer.id != traits_.id) {
        return HeadVerdict::Discard;
    }
    if (answer.load) {
        owner_.placer_.loadReported(
            placement_->instance, answer.load->running, answer.load->waiting, now());
    }
    owner_.placer_.responseReceived(placement_->instance, now() - sentAt_);
    head_ = head;
    framing_ = framing;
    if (answer.isNotRun || answer.isWrongServer) {
        releaseServer(false);
        onNotRun(answer.isWrongServer ? "another server has the address" : "server refused");
        return HeadVerdict::Accept;
    }
    const bool isSuccess = head.status >= 200 && head.status < 300;
    const bool isUsable
        = !isSuccess || (answer.isAuthentic && !head.headers.contains("Content-Encoding"));
    if (answer.id.empty() || !isUsable) {
        releaseServer(false);
        onBroken(answer.id.empty() ? "answer without the request's id" : "success without proof");
        return HeadVerdict::Accept;
    }
    const auto type = head.headers.find("Content-Type");
    isEventStream_ = route_->kind == RouteKind::Stream && isSuccess && type
                     && type->starts_with("text/event-stream");
    if (isHeadPassed_ && !isEventStream_) {
        releaseServer(false);
        cutOff("not_resumed",
               "server answered " + std::to_string(head.status) + " to a resumption");
        return HeadVerdict::Accept;
    }
    if (!isWholeAnswerKept() && !isHeadPassed_) {
        passHead();
    }
    return HeadVerdict::Accept;
}

/// Short answers of known length are passed on only when they are whole.
bool Exchange::isWholeAnswerKept() const
{
    if (isEventStream_) {
        return false;
    }
    return framing_.kind != BodyFraming::Length
           || framing_.length.value_or(0) <= owner_.settings_.wholeAnswerBytes;
}

void Exchange::onBody(const std::string &bytes)
{
    if (isEventStream_) {
        passBody(events_.feed(bytes));
        return;
    }
    if (isHeadPassed_) {
        passBody(bytes);
        return;
    }
    heldBody_ += bytes;
    if (heldBody_.size() > owner_.settings_.wholeAnswerBytes) {
        passHead();
        passBody(std::exchange(heldBody_, {}));
    }
}

void Exchange::onEnd(ResponseEnd end, const std::string &problem)
{
    if (isEnded_) {
        return;
    }
    if (end == ResponseEnd::Broken) {
        releaseServer(false);
        owner_.placer_.requestFailed(placement_->instance, now());
        onBroken(problem);
        return;
    }
    if (isEventStream_ && events_.hasPartialEvent()) {
        releaseServer(false);
        onBroken("stream ends within an event");
        return;
    }
    releaseServer(true);
    passOnEnd();
}

/// The request certainly did not run at this server; another one may take it.
void Exchange::onNotRun(const std::string &detail)
{
    if (isEnded_) {
        return;
    }
    excluded_.push_back(placement_->instance.id);
    releaseServer(false);
    owner_.log_.write(
        LogLevel::Info,
        "not run: " + detail,
        {.request = traits_.id, .step = "dispatch", .peer = placement_->instance.id.text()});
    offer();
}

bool Exchange::mayRunAgain() const
{
    const bool isRepeatable = route_->kind == RouteKind::Idempotent
                              || (route_->kind == RouteKind::Stream && route_->isResumable);
    if (!isRepeatable || timeLeft() < shortestOffer) {
        return false;
    }
    if (isHeadPassed_ && !(isEventStream_ && events_.lastEventId())) {
        return false;
    }
    return runs_ < std::max(1U, route_->attempts);
}

/// The request may have run at this server, and its answer is not to be used.
void Exchange::onBroken(const std::string &problem)
{
    if (isEnded_) {
        return;
    }
    mayHaveRun_ = true;
    ++runs_;
    owner_.log_.write(
        LogLevel::Info,
        "answer broken: " + problem,
        {.request = traits_.id, .step = "backend", .peer = placement_->instance.id.text()});
    if (mayRunAgain()) {
        excluded_.push_back(placement_->instance.id);
        offer();
    } else if (isHeadPassed_) {
        cutOff("broken_answer", problem);
    } else {
        answerLocally(502, "broken_answer", problem);
    }
}

void Exchange::passHead()
{
    ResponseHead head = head_;
    removeConnectionFields(head.headers);
    Framing framing = framing_;
    if (isEventStream_ || framing.kind == BodyFraming::UntilClose) {
        framing = {BodyFraming::Chunked, std::nullopt};
    }
    isHeadPassed_ = true;
    caller_->beginResponse(head, framing);
}

void Exchange::passBody(std::string_view bytes)
{
    caller_->write(bytes);
    limitBacklog();
}

void Exchange::limitBacklog()
{
    if (isEnded_ || !connection_ || caller_->pendingBytes() < owner_.settings_.callerBacklogBytes) {
        return;
    }
    connection_->pause();
    auto self = shared_from_this();
    caller_->onceDrained([self, connection = connection_] { connection->resume(); });
}

void Exchange::passOnEnd()
{
    if (!isHeadPassed_) {
        framing_.kind = BodyFraming::Length;
        if (request_.head.method != "HEAD" && head_.status != 204 && head_.status != 304) {
            framing_.length = heldBody_.size();
        }
        passHead();
        caller_->write(heldBody_);
    }
    caller_->endResponse();
    finish({head_.status, "answered", {}});
}

/// The server is done with the request, or is given up.
void Exchange::releaseServer(bool isConnectionReusable)
{
    if (!placement_) {
        return;
    }
    auto connection = std::exchange(connection_, nullptr);
    if (!connection) {
        return;
    }
    owner_.placer_.requestEnded(placement_->instance);
    if (isConnectionReusable && owner_.placer_.isListed(placement_->instance)) {
        owner_.pool_.give(placement_->instance, connection, now());
    } else {
        connection->close();
    }
}

void Exchange::answerLocally(int status,
                             const char *outcome,
                             std::string detail,
                             std::optional<Base::Duration> retryAfter)
{
    ResponseHead head;
    head.status = status;
    head.reason = reasonOf(status);
    head.headers.add("Content-Type", "text/plain");
    if (retryAfter) {
        head.headers.add("Retry-After", secondsText(*retryAfter));
    }
    releaseServer(false);
    caller_->respond(head, detail + "\n");
    finish({status, outcome, std::move(detail)});
}

void Exchange::cutOff(const char *outcome, std::string detail)
{
    releaseServer(false);
    caller_->abort();
    finish({0, outcome, std::move(detail)});
}

void Exchange::finish(Ending ending)
{
    if (isEnded_) {
        return;
    }
    isEnded_ = true;
    timer_.cancel();
    if (rateTimer_) {
        rateTimer_->cancel();
    }
    releaseServer(false);
    settle();
    if (hasPermit_) {
        owner_.controls_.returnPermit(team_->team);
    }
    --owner_.active_;
    owner_.countAnswer(ending.status, now() - request_.arrivedAt);
    writeLog(std::move(ending));
}

void Exchange::settle()
{
    if (!isReserved_ || !isEnded_) {
        return;
    }
    isReserved_ = false;
    const auto handed = static_cast<std::int64_t>(events_.eventCount())
                        * (service_ ? service_->tokensPerEvent.value() : 0);
    owner_.controls_.settleTokens(reservation_, Base::Tokens(handed));
}

void Exchange::writeLog(Ending ending)
{
    const bool isUsual = ending.status >= 200 && ending.status < 500;
    const LogLevel level = isUsual ? LogLevel::Info : LogLevel::Warning;
    if (!owner_.log_.isEnabled(level)) {
        return;
    }
    Telemetry::LogFields fields;
    fields.request = traits_.id;
    fields.program = traits_.program.text();
    fields.team = team_ ? team_->team.id.text() : std::string();
    fields.step = "reply";
    fields.details = {{"outcome", ending.outcome},
                      {"status", std::int64_t(ending.status)},
                      {"detail", std::move(ending.detail)},
                      {"version", static_cast<std::int64_t>(owner_.version().value())},
                      {"offers", std::int64_t(offers_)},
                      {"runs", std::int64_t(runs_)},
                      {"events", static_cast<std::int64_t>(events_.eventCount())},
                      {"milliseconds", milliseconds(now() - request_.arrivedAt)}};
    if (route_) {
        fields.details.push_back({"route", route_->id.text()});
    }
    if (team_) {
        fields.details.push_back({"urgency", nameOf(urgency_)});
    }
    if (service_) {
        fields.details.push_back({"service", service_->id.text()});
    }
    if (traits_.programBudget) {
        fields.details.push_back({"program_budget", traits_.programBudget->value()});
        fields.details.push_back({"max_output", traits_.maxOutput.value()});
    }
    if (placement_) {
        fields.peer = placement_->instance.id.text();
        fields.details.push_back({"load", placement_->load});
        fields.details.push_back({"slots", std::int64_t(placement_->slots)});
        fields.details.push_back({"cached_tokens", placement_->cachedTokens.value()});
    }
    owner_.log_.write(level, "request ended", fields);
}

} // namespace Proxy
