#include "exchange.h"

namespace Proxy {

namespace {

using Telemetry::LogLevel;

std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

const char *nameOf(Dispatch::ConfirmedBy by)
{
    return by == Dispatch::ConfirmedBy::Read ? "read" : "report";
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
    owner_.exchanges_.insert(this);
}

void Exchange::start()
{
    auto self = shared_from_this();
    caller_->onceDisconnected([self] { self->onCallerDisconnected(); });
    if (!findRoute() || !checkIds() || !checkHistoryFields()) {
        return;
    }
    fingerprints_ = Dispatch::fingerprintsOf(
        team_ ? team_->team.id : Base::TeamId{}, request_.head.target, request_.body);
    const Base::Duration timeout
        = std::min(route_->timeout, traits_.callerTimeout.value_or(route_->timeout));
    deadline_ = request_.arrivedAt + timeout;
    armDeadline();
    if (!checkShutdown()) {
        return;
    }
    if (owner_.quarantine_.isQuarantined(fingerprints_)) {
        refuseQuarantined();
        return;
    }
    findHistory();
    findStreamVersion();
    if (!isEnded_) {
        checkRate();
    }
}

bool Exchange::isRepeatable() const
{
    return route_->kind == Contracts::RouteKind::Idempotent
           || (route_->kind == Contracts::RouteKind::Stream && route_->isResumable);
}

/// A refusal would promise that the request was not run.
bool Exchange::mayBeSent() const
{
    return mayHaveRun_ || owner_.isAdmitted({timeLeft(), isRepeatable()});
}

/// Refuses a request that would be cut off when the process ends.
bool Exchange::checkShutdown()
{
    if (mayBeSent()) {
        return true;
    }
    owner_.account_.refusedByShutdown();
    respondWithError(503, "stopping", "the daemon stops", Base::Duration::zero());
    return false;
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
    if (connection_ || connecting_) {
        owner_.placer_.requestFailed(placement_->instance, now());
        owner_.load_.requestTimedOut(service_->id, now());
    }
    if (isHeadForwarded_) {
        abortResponse("deadline", "deadline exceeded during the response");
    } else if (mayHaveRun_ || (connection_ && connection_->hasSent())) {
        respondWithError(504, "deadline", "no response before the deadline");
    } else {
        respondWithError(503, "deadline", "no server accepted the request before the deadline");
    }
}

void Exchange::onProcessEnding()
{
    const bool mayRun = mayHaveRun_ || (connection_ && connection_->hasSent());
    respondWithError(mayRun ? 502 : 503, "process_ending", "the daemon ends");
}

void Exchange::onCallerDisconnected()
{
    if (!isEnded_) {
        finish({RequestEnding::CallerGone, 0, "caller_gone", "caller closed the connection"});
    }
}

/// Ends the current attempt and reuses or closes its connection.
void Exchange::releaseServer(bool isConnectionReusable)
{
    if (!placement_) {
        return;
    }
    if (const auto connecting = std::exchange(connecting_, nullptr)) {
        connecting->cancel();
        owner_.placer_.requestEnded(placement_->instance);
    }
    auto connection = std::exchange(connection_, nullptr);
    if (!connection) {
        return;
    }
    owner_.placer_.requestEnded(placement_->instance);
    if (isConnectionReusable) {
        owner_.putIdle(placement_->instance, connection);
    } else {
        connection->close();
    }
}

void Exchange::respondWithError(int status,
                                const char *outcome,
                                std::string detail,
                                std::optional<Base::Duration> retryAfter)
{
    if (isHeadForwarded_) {
        abortResponse(outcome, std::move(detail));
        return;
    }
    releaseServer(false);
    caller_->respond(ownResponseHead(status, retryAfter), detail + "\n");
    finish({RequestEnding::Refused, status, outcome, std::move(detail)});
}

void Exchange::abortResponse(const char *outcome, std::string detail)
{
    releaseServer(false);
    caller_->abort();
    finish({RequestEnding::Cut, 0, outcome, std::move(detail)});
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
    if (const auto checking = std::exchange(askingStreamServer_, nullptr)) {
        checking->cancel();
    }
    if (const auto cancelKeeping = std::exchange(cancelKeeping_, nullptr)) {
        keepingTime_ = now() - keepingSince_;
        cancelKeeping();
    }
    releaseServer(false);
    responseLease_.release();
    earlierLeases_.clear();
    settle();
    if (hasPermit_) {
        owner_.controls_.returnPermit(team_->team);
    }
    if (std::exchange(isCountedTurn_, false)) {
        owner_.load_.turnEnded(service_->id, traits_.program, now());
        countOutput();
    }
    owner_.exchanges_.erase(this);
    owner_.account_.requestEnded(ending.forCaller);
    owner_.countResponse(ending.status, now() - request_.arrivedAt);
    writeLog(std::move(ending));
    // Callbacks may keep this object longer.
    std::string().swap(request_.body);
    std::string().swap(prefix_);
    request_.bodyLease.release();
}

void Exchange::countOutput()
{
    const auto tokens
        = static_cast<std::int64_t>(events_.eventCount()) * service_->tokensPerEvent.value();
    const bool isInTime
        = !traits_.programTimeLeft || now() - request_.arrivedAt <= *traits_.programTimeLeft;
    owner_.load_.countOutput(Base::Tokens(tokens), isInTime);
}

void Exchange::settle()
{
    if (!isReserved_ || !isEnded_) {
        return;
    }
    isReserved_ = false;
    const auto used = static_cast<std::int64_t>(events_.eventCount())
                      * (service_ ? service_->tokensPerEvent.value() : 0);
    owner_.controls_.settleTokens(reservation_, Base::Tokens(used));
}

void Exchange::writeLog(Ending ending)
{
    const bool isExpected = ending.status >= 200 && ending.status < 500;
    const LogLevel level = isExpected ? LogLevel::Info : LogLevel::Warning;
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
                      {"offers", std::int64_t(attempts_)},
                      {"runs", std::int64_t(executions_)},
                      {"events", static_cast<std::int64_t>(events_.eventCount())},
                      {"milliseconds", milliseconds(now() - request_.arrivedAt)}};
    if (route_) {
        fields.details.push_back({"route", route_->id.text()});
    }
    if (mayHaveRun_) {
        fields.details.push_back({"request_hash", fingerprints_.exact.text()});
        fields.details.push_back({"path_hash", fingerprints_.path.text()});
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
    if (route_ && route_->isHistoryKept) {
        fields.details.push_back({"previous_turn", traits_.previousTurn});
        fields.details.push_back({"chain_turns", static_cast<std::int64_t>(chainTurns_)});
        fields.details.push_back({"chain_bytes", static_cast<std::int64_t>(prefix_.size())});
        fields.details.push_back({"history_milliseconds", milliseconds(historyTime_)});
        fields.details.push_back({"keep_milliseconds", milliseconds(keepingTime_)});
    }
    if (relay_) {
        fields.details.push_back({"relay", relay_->text()});
    }
    if (placement_) {
        fields.peer = placement_->instance.id.text();
        fields.details.push_back({"load", placement_->load});
        fields.details.push_back({"slots", std::int64_t(placement_->slots)});
        fields.details.push_back({"cached_tokens", placement_->cachedTokens.value()});
        if (placement_->expectedTime) {
            fields.details.push_back({"missing_tokens", placement_->missingTokens.value()});
            fields.details.push_back(
                {"expected_milliseconds", milliseconds(*placement_->expectedTime)});
            fields.details.push_back({"first_milliseconds", milliseconds(firstResponseTime_)});
        }
        fields.details.push_back({"server_version", placement_->version.text()});
    }
    if (traits_.lastEventId) {
        fields.details.push_back({"resumes", traits_.resumedAttempt});
        fields.details.push_back({"last_event", *traits_.lastEventId});
    }
    if (traits_.lastEventId && streamVersion_) {
        addStreamDetails(fields);
    }
    if (listConfirmation_) {
        fields.details.push_back({"version_by", streamRecord_ ? "record" : "sole_version"});
        fields.details.push_back({"list_age_milliseconds", milliseconds(listConfirmation_->age)});
        fields.details.push_back({"list_by", nameOf(listConfirmation_->by)});
    }
    if (requestLimit_) {
        fields.details.push_back({"server_limit", requestLimit_->value()});
    }
    owner_.log_.write(level, "request ended", fields);
}

} // namespace Proxy
