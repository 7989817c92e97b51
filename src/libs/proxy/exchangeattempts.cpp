#include "exchange.h"

#include "endpoint.h"

namespace Proxy {

namespace {

using Telemetry::LogLevel;

/// Minimum time that a server needs; no attempt is made if less is left.
constexpr Base::Duration minAttemptTime = std::chrono::milliseconds(5);

/// Denied permits of servers after which a request waits for one.
constexpr std::uint32_t maxDeniedPermits = 3;

} // namespace

/// Chooses a server and sends the request to it; responds with an error if there is none.
void Exchange::startAttempt()
{
    if (timeLeft() < minAttemptTime) {
        onDeadline();
        return;
    }
    if (!checkShutdown()) {
        return;
    }
    if (owner_.quarantine_.isQuarantined(fingerprints_)) {
        refuseQuarantined();
        return;
    }
    if (readServersIfNeeded() || askStreamServer()) {
        return;
    }
    if (isStreamUncertain()) {
        refuseAttempt("stream_uncertain",
                      "the server that began the stream may have been restarted before",
                      owner_.settings_.retryAfterBusy);
        return;
    }
    if (owner_.load_.isEnabled(service_->id)) {
        owner_.placer_.placeByCost(service_->id);
    }
    placement_ = owner_.placer_.choose(
        service_->id, traits_.prompt, excludedServers_, now(), streamVersion_);
    if (!placement_ || attempts_ >= owner_.settings_.maxAttempts) {
        refuseWithoutServer();
        return;
    }
    if (isOverloaded()) {
        refuseAttempt("overload",
                      "the servers have no room for new programs",
                      owner_.settings_.retryAfterOverload);
        return;
    }
    if (owner_.limits_.isLimited(placement_->instance)) {
        requestServerPermit();
    } else {
        offer();
    }
}

void Exchange::refuseWithoutServer()
{
    const bool areZonesClosed
        = !placement_ && owner_.placer_.hasOnlyClosedServers(service_->id, streamVersion_);
    if (!areZonesClosed) {
        refuseAttempt("no_server",
                      attempts_ == 0 ? "service has no available server"
                                     : "no server accepted the request",
                      owner_.settings_.retryAfterBusy);
        return;
    }
    owner_.metrics_
        .counter("marjoram_closed_zone_refusals_total",
                 "Requests refused because only closed zones have servers")
        .add();
    refuseAttempt("zones_closed",
                  "all servers of the service are in closed zones",
                  owner_.settings_.retryAfterClosed);
}

/// Programs that begin while even the best server is full would make those in progress late.
bool Exchange::isOverloaded() const
{
    return urgency_ == Admission::Urgency::NewProgram && attempts_ == 0
           && !placement_->hasRoomForNewWork && !owner_.load_.isEnabled(service_->id);
}

/// Requests that find the limit of one server exhausted try others first and wait only then.
void Exchange::requestServerPermit()
{
    const bool mayWait = placement_->isExhausted || deniedPermits_ >= maxDeniedPermits;
    auto self = shared_from_this();
    owner_.limits_.takePermit(placement_->instance,
                              {urgency_, mayWait},
                              [self, mayWait](const Admission::PermitVerdict &verdict) {
                                  self->onServerPermit(verdict, mayWait);
                              });
}

void Exchange::onServerPermit(const Admission::PermitVerdict &verdict, bool mayWait)
{
    const Dispatch::ServerInstance instance = placement_->instance;
    if (isEnded_) {
        if (verdict.isAdmitted) {
            owner_.limits_.returnPermit(instance);
        }
        return;
    }
    if (!verdict.isAdmitted) {
        ++deniedPermits_;
        owner_.placer_.permitDenied(instance, now() + verdict.retryAfter);
        if (mayWait) {
            refuseAttempt(
                "server_limit", "the servers take no more requests per second", verdict.retryAfter);
        } else {
            startAttempt();
        }
        return;
    }
    if (isZoneClosed() || !mayBeSent()) {
        // The zone was closed, or the shutdown went on, while the permit was on its way.
        owner_.limits_.returnPermit(instance);
        startAttempt();
        return;
    }
    if (verdict.wait == Base::Duration::zero()) {
        offer();
        return;
    }
    auto self = shared_from_this();
    rateTimer_.emplace(owner_.context_, verdict.wait);
    rateTimer_->async_wait([self, instance](const std::error_code &error) {
        if (!error && !self->isEnded_ && self->owner_.placer_.isAvailable(instance)
            && self->mayBeSent()) {
            self->offer();
            return;
        }
        self->owner_.limits_.returnPermit(instance);
        if (!self->isEnded_) {
            self->startAttempt();
        }
    });
}

/// Sends the request to the chosen server.
void Exchange::offer()
{
    ++attempts_;
    hasPermit_ = false; // the first attempt uses the permit
    if (!traits_.program.isEmpty()) {
        owner_.recentPrograms_.add(traits_.program);
    }
    connect(*placement_);
}

/// Ends the request because no server can get it now.
void Exchange::refuseAttempt(const char *outcome, std::string detail, Base::Duration retryAfter)
{
    placement_.reset();
    if (mayHaveRun_) {
        respondWithError(502, "broken_answer", std::move(detail));
    } else {
        respondWithError(503, outcome, std::move(detail), retryAfter);
    }
}

/// No time is given after which to return, as the request would crash the next server.
void Exchange::refuseQuarantined()
{
    const int status = mayHaveRun_ ? 502 : 503;
    respondWithError(status, "quarantined", "the servers that ran this request before ended");
}

void Exchange::connect(const Dispatch::Placement &placement)
{
    owner_.placer_.requestSent(placement.instance, traits_.prompt);
    if (auto idle = owner_.takeIdle(placement.instance)) {
        sendOrAskServer(std::move(idle), true);
        return;
    }
    const auto endpoint = parseEndpoint(placement.address);
    if (!endpoint) {
        onNotRun("address " + placement.address + " is not an IP address and port");
        return;
    }
    auto self = shared_from_this();
    connecting_ = owner_.connector_.connect(
        {placement.instance, *endpoint},
        std::min(owner_.settings_.connectTimeout, timeLeft()),
        [self](std::shared_ptr<ClientConnection> connection, const std::string &problem) {
            self->onConnected(std::move(connection), problem);
        });
}

void Exchange::onConnected(std::shared_ptr<ClientConnection> connection, const std::string &problem)
{
    connecting_.reset();
    if (connection && isZoneClosed()) {
        connection_ = std::move(connection);
        onZoneClosed();
        return;
    }
    if (connection) {
        sendOrAskServer(std::move(connection), false);
        return;
    }
    owner_.mayHaveEnded(placement_->instance, Dispatch::EndSign::Failed);
    owner_.placer_.requestFailed(placement_->instance, now());
    owner_.placer_.requestEnded(placement_->instance);
    onNotRun("connect: " + problem);
}

/// Whether the connection may lead to a process of another version than the stream's.
bool Exchange::mustAskServer(const ClientConnection &connection) const
{
    return continuesStream()
           && !isVersionSure(
               owner_.processes_.certainty(placement_->instance, connection.connectedAt()),
               *streamVersion_);
}

void Exchange::sendOrAskServer(std::shared_ptr<ClientConnection> connection, bool isKept)
{
    if (mustAskServer(*connection)) {
        askServer(std::move(connection));
    } else {
        sendTo(std::move(connection), isKept);
    }
}

/// Asks the server which process it is before it gets a stream that another one began.
void Exchange::askServer(std::shared_ptr<ClientConnection> connection)
{
    if (!owner_.mayAskServers()) {
        onServerAsked(ProcessFinding::Untold, std::move(connection));
        return;
    }
    const auto check = std::make_shared<ProcessCheck>(
        owner_.context_, owner_.translator_, placement_->instance, std::move(connection));
    connecting_ = check;
    auto self = shared_from_this();
    check->start(std::min(owner_.settings_.connectTimeout, timeLeft()),
                 [self, askedAt = now()](ProcessFinding finding, auto checked) {
                     self->connecting_.reset();
                     self->owner_.recordFinding(self->placement_->instance, finding, askedAt);
                     self->onServerAsked(finding, std::move(checked));
                 });
}

void Exchange::onServerAsked(ProcessFinding finding, std::shared_ptr<ClientConnection> connection)
{
    if (connection && isZoneClosed()) {
        connection_ = std::move(connection);
        onZoneClosed();
        return;
    }
    const bool isDoubtful
        = !connection
          || owner_.processes_.certainty(placement_->instance, connection->connectedAt())
                 == Dispatch::ProcessCertainty::Doubtful;
    const bool isAccepted
        = finding == ProcessFinding::Listed || (finding == ProcessFinding::Untold && !isDoubtful);
    const bool mayGetRequest = owner_.placer_.isAvailable(placement_->instance) && mayBeSent();
    if (connection && isAccepted && mayGetRequest) {
        // A late copy of the answer may come before the response.
        sendTo(std::move(connection), true);
        return;
    }
    if (connection) {
        connection->close();
    }
    owner_.placer_.requestEnded(placement_->instance);
    onNotRun(isAccepted ? "server may not get the request after it was asked for its process"
                        : std::string("process of the server is not known to be the listed one: ")
                              + nameOf(finding));
}

void Exchange::sendTo(std::shared_ptr<ClientConnection> connection, bool isKept)
{
    connection_ = std::move(connection);
    response_ = {};
    response_.mayBeStaleIfUnnamed = isKept;
    relay_ = connection_->relay();
    sentAt_ = now();
    if (!connection_->relay()) {
        owner_.connector_.paths().sent(sentAt_);
    }
    events_.dropPartialEvent();
    beginLease();
    if (continuesStream()) {
        logContinuation();
    }
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
    std::string bytes = serializeRequest(head, prefix_.size() + request_.body.size());
    bytes.reserve(bytes.size() + prefix_.size() + request_.body.size());
    return bytes.append(prefix_).append(request_.body);
}

bool Exchange::isZoneClosed() const
{
    return owner_.placer_.isInClosedZone(placement_->instance);
}

/// The zone was closed before the request was sent.
void Exchange::onZoneClosed()
{
    owner_.metrics_
        .counter("marjoram_closed_zone_redirects_total",
                 "Requests whose server's zone was closed before they were sent")
        .add();
    onNotRun("zone of the server was closed");
}

/// The request was not executed on this server, so it is safe to try another one.
void Exchange::onNotRun(const std::string &detail)
{
    if (isEnded_) {
        return;
    }
    excludedServers_.push_back(placement_->instance.id);
    releaseServer(false);
    owner_.log_.write(
        LogLevel::Info,
        "not run: " + detail,
        {.request = traits_.id, .step = "dispatch", .peer = placement_->instance.id.text()});
    startAttempt();
}

bool Exchange::mayRetry() const
{
    if (!isRepeatable() || timeLeft() < minAttemptTime) {
        return false;
    }
    if (isHeadForwarded_ && !(isStreamForwarded_ && events_.lastEventId())) {
        return false;
    }
    return executions_ < std::max(1U, route_->attempts);
}

/// The request may have been executed on this server, and its response cannot be used.
void Exchange::onBroken(const std::string &problem)
{
    if (isEnded_) {
        return;
    }
    mayHaveRun_ = true;
    ++executions_;
    owner_.log_.write(LogLevel::Info,
                      "answer broken: " + problem,
                      {.request = traits_.id,
                       .step = "backend",
                       .peer = placement_->instance.id.text(),
                       .details = {{"request_hash", fingerprints_.exact.text()},
                                   {"path_hash", fingerprints_.path.text()},
                                   {"response_begun", std::int64_t(response_.hasBegun)},
                                   {"server_version", placement_->version.text()},
                                   {"events", static_cast<std::int64_t>(events_.eventCount())}}});
    if (mayRetry() && owner_.load_.takeRetry(service_->id)) {
        excludedServers_.push_back(placement_->instance.id);
        startAttempt();
    } else if (isHeadForwarded_) {
        abortResponse("broken_answer", problem);
    } else {
        respondWithError(502, "broken_answer", problem);
    }
}

} // namespace Proxy
