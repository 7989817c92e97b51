#include "exchange.h"

#include <base/random.h>

#include <algorithm>

namespace Proxy {

namespace {

using Contracts::RouteKind;

/// A stream that callers may still resume began within this time.
constexpr Base::Duration soleVersionPeriod = std::chrono::seconds(60);

std::int64_t milliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t startTimeOf(const Dispatch::ServerInstance &process)
{
    return static_cast<std::int64_t>(process.startedAt);
}

} // namespace

/// Finds the software version that a resumed stream has to be continued by. Servers do not check
/// it, and what two versions write does not fit together.
void Exchange::findStreamVersion()
{
    if (route_->kind != RouteKind::Stream || !route_->isResumable || !traits_.lastEventId) {
        return;
    }
    isStreamVersionKnown_ = false;
    auto self = shared_from_this();
    owner_.streams_.find({traits_.resumedAttempt, streamKey()},
                         [self](const Dispatch::StreamFinding &finding) {
                             if (!self->isEnded_) {
                                 self->onStreamFound(finding);
                             }
                         });
}

/// Attempts of a caller at the same request have equal keys.
Dispatch::StreamKey Exchange::streamKey() const
{
    const Dispatch::RequestFingerprint &request = fingerprints_.exact;
    std::uint64_t key = Base::hash64(request.team.text(), request.hash);
    key = Base::hash64(traits_.session, key);
    if (!traits_.prompt.empty()) {
        key = Base::hash64(std::to_string(traits_.prompt.back().key), key);
    }
    return Dispatch::StreamKey(key);
}

/// A stream that no daemon knows can still be continued if there has been only one version.
void Exchange::onStreamFound(const Dispatch::StreamFinding &finding)
{
    if (std::holds_alternative<Dispatch::AmbiguousStream>(finding)) {
        refuseStream("stream_uncertain", "equal requests were begun by several software versions");
        return;
    }
    const auto *record = std::get_if<Dispatch::StreamRecord>(&finding);
    if (record && !isOfEarlierRequest(*record)) {
        streamRecord_ = *record;
        streamRecordedAt_ = now();
        streamVersion_ = record->version;
        onStreamVersionKnown();
        return;
    }
    findSoleVersion();
}

/// A caller that sends a request again from its start has a new stream with the same key, whose
/// record may be lost. It resumes a stream within the time of its request, so that an older one is
/// not meant.
bool Exchange::isOfEarlierRequest(const Dispatch::StreamRecord &record) const
{
    constexpr Base::Duration transitTime = std::chrono::milliseconds(250);
    const bool isTimeKnown = traits_.callerTimeout && *traits_.callerTimeout <= route_->timeout;
    if (!traits_.resumedAttempt.empty() || !isTimeKnown) {
        return false;
    }
    return record.age > route_->timeout - *traits_.callerTimeout + transitTime;
}

/// Servers of another version may have joined since the list was confirmed, and may have begun the
/// stream through other daemons. Only a read that begins now names all of them.
void Exchange::findSoleVersion()
{
    if (!soleVersion()) {
        noteServerList();
        refuseStream("stream_unknown", "the software version that began the stream is not known");
        return;
    }
    if (owner_.processes_.hasDoubtful(service_->id)) {
        noteServerList();
        refuseStream("stream_unknown", "a server may have been restarted with another version");
        return;
    }
    auto self = shared_from_this();
    owner_.serverReads_.request([self](bool isRead) {
        if (!self->isEnded_) {
            self->onServersReadForSoleVersion(isRead);
        }
    });
}

void Exchange::onServersReadForSoleVersion(bool isRead)
{
    noteServerList();
    isListRead_ = isRead;
    if (!isRead) {
        refuseStream("stream_unknown", "the list of servers could not be read to resume a stream");
        return;
    }
    streamVersion_ = soleVersion();
    if (!streamVersion_ || owner_.processes_.hasDoubtful(service_->id)) {
        refuseStream("stream_unknown", "servers of another software version have joined");
        return;
    }
    onStreamVersionKnown();
}

void Exchange::onStreamVersionKnown()
{
    isStreamVersionKnown_ = true;
    if (isAdmitted_) {
        onAdmitted();
    }
}

std::optional<Base::SoftwareVersion> Exchange::soleVersion() const
{
    return owner_.serviceVersions_.soleVersion(
        service_->id, soleVersionPeriod, owner_.settings_.continuousNow());
}

void Exchange::noteServerList()
{
    listConfirmation_ = owner_.serviceVersions_.confirmation(owner_.settings_.continuousNow());
}

/// Reads the list of servers before a stream goes on, if this daemon may have missed that servers
/// were restarted with another version, or if the stream may have begun at one that was. Returns
/// whether the attempt has to wait. While the store is unavailable, no daemon can know more.
bool Exchange::readServersIfNeeded()
{
    if (!streamVersion_) {
        return false;
    }
    noteServerList();
    const bool isOutOfStep = !owner_.serviceVersions_.isInStep(owner_.settings_.continuousNow());
    const bool mayBeOutdated = isOutOfStep && isListRead_ != false;
    const bool isUncertain
        = !isListRead_ && streamRecord_ && streamCertainty() != Dispatch::ProcessCertainty::Certain;
    if (!mayBeOutdated && !isUncertain) {
        return false;
    }
    auto self = shared_from_this();
    owner_.serverReads_.request([self](bool isRead) {
        if (!self->isEnded_) {
            self->isListRead_ = isRead;
            self->startAttempt();
        }
    });
    return true;
}

void Exchange::refuseStream(const char *outcome, std::string detail)
{
    respondWithError(503, outcome, std::move(detail), owner_.settings_.retryAfterBusy);
}

/// Whether the process that began the stream was the one of the record.
Dispatch::ProcessCertainty Exchange::streamCertainty() const
{
    using Dispatch::ProcessCertainty;
    // Records of previous builds name no server.
    if (streamRecord_->server.id.isEmpty()) {
        return ProcessCertainty::Certain;
    }
    const Base::Instant connectedAt
        = streamRecordedAt_ - streamRecord_->age - streamRecord_->openBefore;
    const ProcessCertainty here = owner_.processes_.certainty(streamRecord_->server, connectedAt);
    const ProcessCertainty recorded = streamRecord_->certainty;
    const bool isCertain
        = here == ProcessCertainty::Certain || recorded == ProcessCertainty::Certain;
    return isCertain ? ProcessCertainty::Certain : std::max(here, recorded);
}

/// Without a sign that the process had ended, a list that was just read and names no other version
/// is enough: another process would have had to take its place unnoticed, and be the first one of
/// its version.
bool Exchange::isVersionSure(Dispatch::ProcessCertainty certainty,
                             const Base::SoftwareVersion &version) const
{
    switch (certainty) {
    case Dispatch::ProcessCertainty::Certain:
        return true;
    case Dispatch::ProcessCertainty::Probable:
        return isListRead_ == true && owner_.serviceVersions_.isOnlyVersion(service_->id, version);
    case Dispatch::ProcessCertainty::Unsure:
    case Dispatch::ProcessCertainty::Doubtful:
        break;
    }
    return false;
}

/// Asks the server that began the stream which process it is, if this is not known. Returns whether
/// the attempt has to wait.
bool Exchange::askStreamServer()
{
    if (!streamRecord_ || streamServerFinding_ || !owner_.mayAskServers()
        || isVersionSure(streamCertainty(), streamRecord_->version)) {
        return false;
    }
    if (auto idle = owner_.takeIdle(streamRecord_->server)) {
        askStreamServerOn(std::move(idle));
        return true;
    }
    const auto address = owner_.addressOf(streamRecord_->server);
    if (!address) {
        streamServerFinding_ = ProcessFinding::Unanswered;
        return false;
    }
    auto self = shared_from_this();
    askingStreamServer_ = owner_.connector_.connect(
        {streamRecord_->server, *address},
        std::min(owner_.settings_.connectTimeout, timeLeft()),
        [self](std::shared_ptr<ClientConnection> connection, const std::string &) {
            if (connection) {
                self->askStreamServerOn(std::move(connection));
                return;
            }
            self->owner_.mayHaveEnded(self->streamRecord_->server, Dispatch::EndSign::Failed);
            self->onStreamServerAsked(ProcessFinding::Unanswered);
        });
    return true;
}

void Exchange::askStreamServerOn(std::shared_ptr<ClientConnection> connection)
{
    const auto check = std::make_shared<ProcessCheck>(
        owner_.context_, owner_.translator_, streamRecord_->server, std::move(connection));
    askingStreamServer_ = check;
    auto self = shared_from_this();
    check->start(std::min(owner_.settings_.connectTimeout, timeLeft()),
                 [self, askedAt = now()](ProcessFinding finding, const auto &checked) {
                     const Dispatch::ServerInstance &process = self->streamRecord_->server;
                     self->owner_.recordFinding(process, finding, askedAt);
                     if (checked) {
                         self->owner_.putIdle(process, checked);
                     }
                     self->onStreamServerAsked(finding);
                 });
}

void Exchange::onStreamServerAsked(ProcessFinding finding)
{
    askingStreamServer_.reset();
    streamServerFinding_ = finding;
    startAttempt();
}

/// Whether the server that began the stream may have had another version than the recorded one.
bool Exchange::isStreamUncertain() const
{
    if (!streamRecord_) {
        return false;
    }
    const Dispatch::ProcessCertainty certainty = streamCertainty();
    if (certainty == Dispatch::ProcessCertainty::Certain) {
        return false;
    }
    Dispatch::StreamRecord record = *streamRecord_;
    record.age += now() - streamRecordedAt_;
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const Dispatch::UnixMs unixTime(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    if (owner_.serviceVersions_.isUncertain(record, unixTime)) {
        return true;
    }
    if (isVersionSure(certainty, streamRecord_->version)) {
        return false;
    }
    // A server that does not say which process it is leaves only the signs that it has ended.
    const bool isUntold
        = streamServerFinding_.value_or(ProcessFinding::Untold) == ProcessFinding::Untold;
    return !isUntold || certainty == Dispatch::ProcessCertainty::Doubtful;
}

/// Whether the caller has events of the stream already, from this response or an earlier one.
bool Exchange::continuesStream() const
{
    return streamVersion_ && (traits_.lastEventId || events_.eventCount() > 0);
}

/// Adds what is known of the stream that the request continues.
void Exchange::addStreamDetails(Telemetry::LogFields &fields) const
{
    if (!streamRecord_) {
        fields.details.push_back({"found_by", "sole_version"});
        return;
    }
    const bool isOwn = !traits_.lastEventId;
    const char *foundBy = traits_.resumedAttempt.empty() ? "key" : "attempt";
    const Base::Duration age = streamRecord_->age + (now() - streamRecordedAt_);
    fields.details.push_back({"found_by", isOwn ? "response" : foundBy});
    fields.details.push_back({"stream_server", streamRecord_->server.id.text()});
    fields.details.push_back({"stream_server_started", startTimeOf(streamRecord_->server)});
    fields.details.push_back({"stream_milliseconds", milliseconds(age)});
    fields.details.push_back({"stream_process", nameOf(streamCertainty())});
    if (streamServerFinding_) {
        fields.details.push_back({"stream_check", nameOf(*streamServerFinding_)});
    }
}

/// Written before the request is sent, as a daemon that is killed meanwhile writes no line at the
/// end of it.
void Exchange::logContinuation() const
{
    const Dispatch::ServerInstance &process = placement_->instance;
    Telemetry::LogFields fields;
    fields.request = traits_.id;
    fields.program = traits_.program.text();
    fields.step = "dispatch";
    fields.peer = process.id.text();
    fields.details
        = {{"server_version", placement_->version.text()},
           {"server_started", startTimeOf(process)},
           {"connection_milliseconds", milliseconds(now() - connection_->connectedAt())},
           {"process", nameOf(owner_.processes_.certainty(process, connection_->connectedAt()))},
           {"events", static_cast<std::int64_t>(events_.eventCount())}};
    addStreamDetails(fields);
    if (traits_.callerTimeout) {
        fields.details.push_back({"caller_milliseconds", milliseconds(*traits_.callerTimeout)});
    }
    if (listConfirmation_) {
        fields.details.push_back({"list_age_milliseconds", milliseconds(listConfirmation_->age)});
    }
    owner_.log_.write(Telemetry::LogLevel::Info, "stream goes on", fields);
}

} // namespace Proxy
