#include "exchange.h"

namespace Proxy {

namespace {

using Contracts::RouteKind;

/// Whether callers take the status for the promise that their request was not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 429 || status == 503;
}

} // namespace

HeadVerdict Exchange::onHead(const ResponseHead &head, const Framing &framing)
{
    if (!relay_) {
        owner_.connector_.paths().received();
    }
    const ResponseTraits traits = owner_.translator_.readResponse(head);
    if (!traits.id.empty() && traits.id != traits_.id) {
        response_.mayBeStaleIfUnnamed = true;
        return HeadVerdict::Discard;
    }
    if (traits.id.empty() && response_.mayBeStaleIfUnnamed) {
        onStaleResponse();
        return HeadVerdict::Accept;
    }
    if (!traits.isWrongServer) {
        recordStatements(traits);
    }
    recordProcess(traits);
    response_.hasBegun = true;
    if (traits.isNotRun || traits.isWrongServer) {
        releaseServer(false);
        onNotRun(traits.isWrongServer ? "address belongs to another server"
                                      : "server rejected the request");
        return HeadVerdict::Accept;
    }
    recordResponse(head.status);
    const bool isSuccess = head.status >= 200 && head.status < 300;
    const bool isUsable
        = !isSuccess || (traits.isAuthentic && !head.headers.contains("Content-Encoding"));
    if (traits.id.empty() || !isUsable) {
        releaseServer(false);
        onBroken(traits.id.empty()
                     ? "response does not name the request"
                     : "success without proof of its server, or with a content encoding");
        return HeadVerdict::Accept;
    }
    if (promisesNotRun(head.status)) {
        releaseServer(false);
        onBroken("server responded with " + std::to_string(head.status)
                 + " without stating that the request was not run");
        return HeadVerdict::Accept;
    }
    const auto type = head.headers.find("Content-Type");
    const bool isEventStream = route_->kind == RouteKind::Stream && isSuccess && type
                               && type->starts_with("text/event-stream");
    if (isHeadForwarded_ && !isEventStream) {
        releaseServer(false);
        onBroken("server responded with " + std::to_string(head.status) + " to a resumed stream");
        return HeadVerdict::Accept;
    }
    response_.head = head;
    response_.framing = framing;
    response_.isEventStream = isEventStream;
    if (isEventStream && route_->isHistoryKept) {
        events_.setDataCollected();
    }
    if (const auto limit = isEventStream ? maxEvents() : std::nullopt) {
        events_.setMaxEvents(*limit);
    }
    if (isEventStream) {
        recordCost();
    }
    if (!isResponseBuffered() && !isHeadForwarded_) {
        forwardHead();
    }
    return HeadVerdict::Accept;
}

/// Neither a refusal nor what the server says about itself is believed: it may be an earlier
/// response that the server wrote once more, and the request may have run.
void Exchange::onStaleResponse()
{
    response_.hasBegun = true;
    releaseServer(false);
    owner_.placer_.requestFailed(placement_->instance, now());
    onBroken("response on a kept connection does not name the request");
}

/// Records what the server says about itself.
void Exchange::recordStatements(const ResponseTraits &traits)
{
    if (traits.load) {
        owner_.placer_.loadReported(
            placement_->instance, traits.load->running, traits.load->waiting, now());
        owner_.load_.loadReported(service_->id, *traits.load, now());
        if (traits.load->slowness) {
            owner_.placer_.slownessReported(placement_->instance, *traits.load->slowness, now());
        }
    }
    if (traits.isLoadMalformed) {
        owner_.metrics_
            .counter("marjoram_malformed_loads_total", "Responses whose load cannot be read")
            .add();
    }
    if (traits.isServerLeaving) {
        owner_.placer_.leavingAnnounced(placement_->instance);
    }
    recordLimit(traits);
}

/// A process that answers is alive; an address that belongs to another server has lost its process.
void Exchange::recordProcess(const ResponseTraits &traits)
{
    if (traits.isWrongServer) {
        owner_.mayHaveEnded(placement_->instance, Dispatch::EndSign::Failed);
    } else if (traits.isAuthentic) {
        owner_.processes_.responded(placement_->instance, connection_->connectedAt(), sentAt_);
    }
}

/// A response without a limit is as old as its request: it may have been on its way when another
/// one stated a limit.
void Exchange::recordLimit(const ResponseTraits &traits)
{
    requestLimit_ = traits.requestLimit;
    if (traits.isRequestLimitMalformed) {
        owner_.metrics_
            .counter("marjoram_malformed_limits_total",
                     "Responses whose request limit cannot be read")
            .add();
        return;
    }
    owner_.limits_.stated(
        {placement_->instance, traits.requestLimit, traits.requestLimit ? now() : sentAt_});
}

/// Servers send the head of a stream with its first token, so its time shows what reading cost.
void Exchange::recordCost()
{
    firstResponseTime_ = now() - sentAt_;
    owner_.placer_.costObserved(service_->id, placement_->missingTokens, firstResponseTime_);
    if (!placement_->expectedTime) {
        return;
    }
    const double expected = Base::toSeconds(*placement_->expectedTime);
    owner_.metrics_
        .distribution("marjoram_placement_cost_ratio",
                      "Actual time to the first token, as a multiple of the expected one",
                      {{"service", service_->id.text()}})
        .add(Base::toSeconds(firstResponseTime_) / expected);
}

/// A server that fails answers sooner than others, so its latency must not attract requests.
void Exchange::recordResponse(int status)
{
    constexpr int gatewayTimeout = 504; // the request ran until the deadline, not faster
    if (status >= 500 && status != gatewayTimeout) {
        owner_.placer_.requestFailed(placement_->instance, now());
    } else {
        owner_.placer_.responseReceived(placement_->instance, now() - sentAt_, now());
    }
}

/// Returns whether the response is held back until it is complete or exceeds the buffer.
bool Exchange::isResponseBuffered() const
{
    if (response_.isEventStream) {
        return false;
    }
    return response_.framing.kind != BodyFraming::Length
           || response_.framing.length.value_or(0) <= owner_.settings_.bufferedResponseBytes;
}

void Exchange::onBody(const std::string &bytes)
{
    if (!relay_) {
        owner_.connector_.paths().received();
    }
    if (response_.isEventStream) {
        onEvents(events_.feed(bytes));
        return;
    }
    if (isHeadForwarded_) {
        forwardBody(bytes);
        return;
    }
    response_.bufferedBody += bytes;
    if (response_.bufferedBody.size() > owner_.settings_.bufferedResponseBytes
        || !leaseKeptBytes()) {
        passOnBufferedBody();
    }
}

/// From here on the response cannot be replaced by another one.
void Exchange::passOnBufferedBody()
{
    forwardHead();
    forwardBody(std::exchange(response_.bufferedBody, {}));
    responseLease_.release();
}

/// Events that the caller's limit on the output allows; nothing if it is not known.
std::optional<std::uint64_t> Exchange::maxEvents() const
{
    const std::int64_t perEvent = service_->tokensPerEvent.value();
    const std::int64_t tokens = traits_.maxOutput.value();
    if (perEvent <= 0 || tokens <= 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>((tokens - 1) / perEvent + 1);
}

/// Returns why the stream cannot go on, or null.
const char *Exchange::streamProblem() const
{
    if (events_.isEventTooLong()) {
        return "event does not end";
    }
    const bool isOutputTooLong
        = route_->isHistoryKept && events_.data().size() > table_->document().limits.bodyBytes;
    return isOutputTooLong ? "output of the turn does not end" : nullptr;
}

std::size_t Exchange::keptBytes() const
{
    return events_.heldBytes() + response_.bufferedBody.capacity();
}

/// The bytes of earlier attempts stay with the servers that sent them.
void Exchange::beginLease()
{
    if (responseLease_.size() > 0) {
        earlierLeases_.push_back(std::move(responseLease_));
    }
    earlierBytes_ = keptBytes();
    responseLease_ = owner_.leaseForResponse(placement_->instance);
}

/// Returns whether the server of the response may take so much memory. Small responses are always
/// kept, however much others take.
bool Exchange::leaseKeptBytes()
{
    constexpr std::size_t smallResponseBytes = 16 * 1024;
    const std::size_t bytes = keptBytes() - std::min(earlierBytes_, keptBytes());
    if (bytes <= smallResponseBytes) {
        responseLease_.forceResize(bytes);
        return true;
    }
    if (responseLease_.resize(bytes)) {
        return true;
    }
    owner_.metrics_
        .counter("marjoram_memory_refusals_total",
                 "Responses of which no more was kept, as their server would take too much memory",
                 {{"service", service_->id.text()}})
        .add();
    return false;
}

void Exchange::breakStream(const std::string &problem)
{
    releaseServer(false);
    events_.dropPartialEvent();
    onBroken(problem);
}

/// The caller has all events that it allows, so no other server could add any.
void Exchange::endOverlongStream()
{
    owner_.placer_.protocolViolated(placement_->instance, now());
    abortResponse("broken_answer", "stream has more tokens than the caller allows");
}

void Exchange::recordStream()
{
    const Base::Instant connectedAt = connection_->connectedAt();
    streamRecordedAt_ = now();
    streamRecord_ = {placement_->version,
                     placement_->instance,
                     {},
                     streamRecordedAt_ - connectedAt,
                     owner_.processes_.certainty(placement_->instance, connectedAt)};
}

/// A caller that breaks off again may name this attempt. Its record is that of the stream, whose
/// connection was opened before.
void Exchange::recordContinuation()
{
    isContinuationRecorded_ = true;
    Dispatch::StreamRecord record{.version = *streamVersion_};
    if (streamRecord_) {
        record = *streamRecord_;
        record.openBefore += record.age + (now() - streamRecordedAt_);
        record.age = {};
    }
    owner_.streams_.began({traits_.id, streamKey()}, record);
}

/// The first event determines the software version of the stream.
void Exchange::onEvents(const std::string &bytes)
{
    if (!streamVersion_ && events_.eventCount() > 0) {
        streamVersion_ = placement_->version;
        if (route_->isResumable) {
            recordStream();
            owner_.streams_.began({traits_.id, streamKey()}, *streamRecord_);
        }
    } else if (traits_.lastEventId && !isContinuationRecorded_ && events_.eventCount() > 0) {
        recordContinuation();
    }
    forwardBody(bytes);
    if (events_.hasTooManyEvents()) {
        endOverlongStream();
    } else if (const char *problem = streamProblem()) {
        owner_.placer_.protocolViolated(placement_->instance, now());
        breakStream(problem);
    } else if (!leaseKeptBytes()) {
        owner_.placer_.requestFailed(placement_->instance, now());
        breakStream("stream is too large for the memory that its server may take");
    }
}

void Exchange::onEnd(ResponseEnd end, const std::string &problem)
{
    if (isEnded_) {
        return;
    }
    if (end != ResponseEnd::Complete) {
        if (end == ResponseEnd::Disconnected) {
            if (!relay_) {
                owner_.mayHaveEnded(placement_->instance, Dispatch::EndSign::Failed);
            }
            owner_.crashes_.disconnected(
                {fingerprints_, placement_->instance, crashStage(), now() - sentAt_});
        }
        releaseServer(false);
        if (end == ResponseEnd::Broken) {
            owner_.placer_.protocolViolated(placement_->instance, now());
        } else {
            owner_.placer_.requestFailed(placement_->instance, now());
        }
        onBroken(problem);
        return;
    }
    if (!response_.head) {
        releaseServer(false);
        onBroken("connection ended before the response was accepted");
        return;
    }
    if (response_.isEventStream && events_.hasPartialEvent()) {
        releaseServer(false);
        onBroken("stream ends within an event");
        return;
    }
    if (relay_ && response_.framing.kind == BodyFraming::UntilClose) {
        // The system ends the connections of a killed relay like a server that is done.
        releaseServer(false);
        onBroken("end of a response without length through a relay is not certain");
        return;
    }
    releaseServer(true);
    owner_.quarantine_.completed(fingerprints_);
    owner_.load_.requestSucceeded(service_->id);
    if (response_.isEventStream && route_->isHistoryKept) {
        keepTurn();
    } else {
        forwardEnd();
    }
}

/// A connection through another daemon may have ended with that daemon.
Dispatch::CrashStage Exchange::crashStage() const
{
    if (connection_->relay()) {
        return Dispatch::CrashStage::Waiting;
    }
    if (route_->kind != RouteKind::Stream) {
        return Dispatch::CrashStage::Unknown;
    }
    if (!response_.hasBegun) {
        return Dispatch::CrashStage::Waiting;
    }
    return events_.eventCount() == 0 ? Dispatch::CrashStage::Begun
                                     : Dispatch::CrashStage::Producing;
}

/// Leaves neither the body of the request nor the data of the stream behind.
TurnHistory::Turn Exchange::takeCompletedTurn()
{
    TurnHistory::Turn turn;
    turn.id = TurnHistory::TurnId(traits_.id);
    turn.previous = TurnHistory::TurnId(traits_.previousTurn);
    turn.team = team_ ? team_->team.id : Base::TeamId{};
    turn.placementKey = placementKey_;
    turn.retention = route_->programRetention.value_or(Base::Duration::zero());
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    turn.endedAt = TurnHistory::UnixTime(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    turn.content.reserve(request_.body.size() + events_.data().size());
    turn.content.append(std::exchange(request_.body, {})).append(events_.takeData());
    return turn;
}

/// Holds back the end of the response until the turn is durable, as the caller may continue it as
/// soon as the response ends.
void Exchange::keepTurn()
{
    keepingSince_ = now();
    TurnHistory::Turn turn = takeCompletedTurn();
    // The turn and its encoded form. It has run, so it is not given up for want of memory.
    earlierLeases_.clear();
    responseLease_.forceResize(2 * turn.content.size());
    auto self = shared_from_this();
    auto cancel = owner_.history_.keep(
        std::move(turn), timeLeft(), [self](bool isKept) { self->onTurnKept(isKept); });
    if (!isEnded_) {
        cancelKeeping_ = std::move(cancel);
    }
}

void Exchange::onTurnKept(bool isKept)
{
    if (isEnded_) {
        return;
    }
    cancelKeeping_ = nullptr;
    keepingTime_ = now() - keepingSince_;
    if (isKept) {
        forwardEnd();
    } else {
        abortResponse("not_kept", "the turn could not be kept");
    }
}

void Exchange::forwardHead()
{
    ResponseHead head = *response_.head;
    removeConnectionFields(head.headers);
    Framing framing = response_.framing;
    if (response_.isEventStream || framing.kind == BodyFraming::UntilClose) {
        framing = {BodyFraming::Chunked, std::nullopt};
    }
    isHeadForwarded_ = true;
    isStreamForwarded_ = response_.isEventStream;
    caller_->beginResponse(head, framing);
}

void Exchange::forwardBody(std::string_view bytes)
{
    caller_->write(bytes);
    applyBackpressure();
}

void Exchange::applyBackpressure()
{
    const bool isFull = caller_->pendingBytes() >= owner_.settings_.callerBacklogBytes
                        || !caller_->mayBuffer(owner_.settings_.memoryStepBytes);
    if (isEnded_ || !connection_ || caller_->pendingBytes() == 0 || !isFull) {
        return;
    }
    connection_->pause();
    auto self = shared_from_this();
    caller_->onceDrained([self, connection = connection_] {
        if (self->connection_ == connection) {
            connection->resume();
        }
    });
}

void Exchange::forwardEnd()
{
    if (!isHeadForwarded_) {
        response_.framing.kind = BodyFraming::Length;
        if (request_.head.method != "HEAD" && response_.head->status != 204
            && response_.head->status != 304) {
            response_.framing.length = response_.bufferedBody.size();
        }
        forwardHead();
        caller_->write(response_.bufferedBody);
    }
    caller_->endResponse();
    finish({RequestEnding::Answered, response_.head->status, "answered", {}});
}

} // namespace Proxy
