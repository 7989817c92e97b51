#include "assignmentclient.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

constexpr Base::Duration readSpacingPerDaemon = std::chrono::milliseconds(10);
constexpr Base::Duration minReadSpacing = std::chrono::milliseconds(100);
constexpr Base::Duration maxReadSpacing = std::chrono::seconds(5);

constexpr Base::Duration pollIntervalPerDaemon = std::chrono::milliseconds(100);
constexpr Base::Duration minPollInterval = std::chrono::seconds(2);
constexpr Base::Duration maxPollInterval = std::chrono::seconds(30);

constexpr Base::Duration deferredEditDelayPerDaemon = std::chrono::milliseconds(100);
constexpr Base::Duration minDeferredEditDelay = std::chrono::milliseconds(500);

// Maximum age of the known assignment for a write without another read.
constexpr Base::Duration maxStateAge = std::chrono::milliseconds(50);
constexpr Base::Duration editBatchDelayPerDaemon = std::chrono::milliseconds(1);

constexpr Base::Duration initialBackoff = std::chrono::milliseconds(20);
constexpr Base::Duration deferredBackoffPerDaemon = std::chrono::milliseconds(5);
constexpr int maxBackoffDoublings = 6;

Platform::ObjectKey assignmentKey()
{
    return {Platform::ObjectKind::Assignment, "assignment"};
}

Base::Duration scaled(Base::Duration perDaemon, std::size_t fleetSize)
{
    return perDaemon * static_cast<std::int64_t>(fleetSize);
}

} // namespace

AssignmentClient::AssignmentClient(AssignmentClientSettings settings,
                                   std::string writeIdPrefix,
                                   std::uint64_t seed,
                                   RequestSender &sender)
    : settings_(settings)
    , writeIdPrefix_(std::move(writeIdPrefix))
    , random_(seed)
    , sender_(&sender)
{}

void AssignmentClient::readNow(Base::Instant now)
{
    readAt_ = now;
}

void AssignmentClient::readSoon(Base::Instant now)
{
    Base::Instant at = now + randomUpTo(readSpacing());
    if (lastRead_) {
        at = std::max(at, *lastRead_ + readSpacing());
    }
    readAt_ = readAt_ ? std::min(*readAt_, at) : at;
}

void AssignmentClient::peerVersionReceived(Platform::ObjectVersion version, Base::Instant now)
{
    if (version > version_) {
        readSoon(now);
    }
}

void AssignmentClient::addEdit(const AssignmentEdit &edit, Base::Instant now)
{
    const Base::Duration batch
        = std::max(settings_.editBatchDelay, scaled(editBatchDelayPerDaemon, fleetSize_));
    addEditAt({edit, now + batch, false});
}

void AssignmentClient::addDeferredEdit(const AssignmentEdit &edit, Base::Instant now)
{
    // Deferred edits of one daemon share a write.
    if (deferredEditsAt_ <= now) {
        const Base::Duration spread = scaled(deferredEditDelayPerDaemon, fleetSize_);
        deferredEditsAt_ = now + minDeferredEditDelay + randomUpTo(spread);
    }
    addEditAt({edit, deferredEditsAt_, true});
}

void AssignmentClient::addEditAt(QueuedEdit queued)
{
    const auto found = std::ranges::find(edits_, queued.edit, &QueuedEdit::edit);
    if (found == edits_.end()) {
        edits_.push_back(std::move(queued));
    }
}

bool AssignmentClient::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    if (pendingRead_ == reply.id) {
        pendingRead_.reset();
        handleRead(reply.outcome, now);
        return true;
    }
    if (pendingWrite_ == reply.id) {
        pendingWrite_.reset();
        handleWrite(reply.outcome, now);
        return true;
    }
    return false;
}

void AssignmentClient::handleRead(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    if (!std::holds_alternative<Platform::StoreUnavailable>(outcome)) {
        stateReceivedAt_ = now;
    }
    if (const auto *found = std::get_if<Platform::ObjectFound>(&outcome)) {
        updateFrom(found->object);
        return;
    }
    if (std::holds_alternative<Platform::ObjectAbsent>(outcome)) {
        updateFrom(std::nullopt);
        return;
    }
    readAt_ = now + settings_.storeRetryDelay;
}

void AssignmentClient::handleWrite(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    handleProgress(writer_->handle(outcome), now);
}

void AssignmentClient::handleProgress(const Platform::WriteProgress &progress, Base::Instant now)
{
    std::visit(Base::Visitor{[&](const Platform::WriteConfirmed &confirmed) {
                                 writer_.reset();
                                 consecutiveConflicts_ = 0;
                                 stateReceivedAt_ = now;
                                 updateFromWrite(confirmed.version);
                             },
                             [&](const Platform::WriteLost &lost) {
                                 writer_.reset();
                                 consecutiveConflicts_
                                     = std::min(consecutiveConflicts_ + 1, maxBackoffDoublings);
                                 backoffUntil_ = now + nextBackoff();
                                 stateReceivedAt_ = now;
                                 updateFrom(lost.current);
                             },
                             [&](const Platform::WriteContinues &continues) {
                                 pendingWrite_ = sender_->send(continues.operation);
                             },
                             [&](const Platform::WriteUnresolved &) {
                                 retryWriteAt_ = now + settings_.storeRetryDelay;
                             }},
               progress);
}

void AssignmentClient::updateFrom(const std::optional<Platform::StoredObject> &object)
{
    if (!object) {
        isAbsent_ = !assignment_;
        return;
    }
    isAbsent_ = false;
    // Replies may arrive out of order.
    if (object->version <= version_) {
        return;
    }
    if (auto decoded = decodeAssignment(object->body)) {
        assignment_ = std::move(decoded.value());
        version_ = object->version;
    }
}

void AssignmentClient::updateFromWrite(Platform::ObjectVersion version)
{
    if (version <= version_) {
        return;
    }
    for (std::size_t i = 0; i < written_.entries.size(); ++i) {
        const Base::IncarnationId &owner = written_.entries[i].owner;
        const bool isNewOwner = !assignment_ || assignment_->entries[i].owner != owner;
        if (isNewOwner && std::ranges::find(newOwners_, owner) == newOwners_.end()) {
            newOwners_.push_back(owner);
        }
    }
    assignment_ = std::move(written_);
    version_ = version;
    isAbsent_ = false;
}

std::vector<Base::IncarnationId> AssignmentClient::takeNewOwners()
{
    return std::exchange(newOwners_, {});
}

void AssignmentClient::tick(const std::vector<Candidate> &candidates, Base::Instant now)
{
    if (!pendingRead_) {
        const bool isPollDue = !lastRead_ || now >= *lastRead_ + pollInterval();
        if ((readAt_ && now >= *readAt_) || (isPollDue && !readAt_)) {
            lastRead_ = now;
            readAt_.reset();
            sendRead();
        }
    }
    if (retryWriteAt_ && now >= *retryWriteAt_) {
        retryWriteAt_.reset();
        pendingWrite_ = sender_->send(writer_->retry());
    }
    if (!isBatchDue(now)) {
        return;
    }
    // A read is cheaper than a write that fails with a conflict.
    if (stateReceivedAt_ && now < *stateReceivedAt_ + maxStateAge) {
        writeBatch(candidates, now);
    } else if (!pendingRead_) {
        sendRead();
    }
}

void AssignmentClient::sendRead()
{
    pendingRead_ = sender_->send(Platform::GetObject{assignmentKey()});
}

bool AssignmentClient::isBatchDue(Base::Instant now) const
{
    const bool isKnown = assignment_ || isAbsent_;
    if (writer_ || !isKnown || (backoffUntil_ && now < *backoffUntil_)) {
        return false;
    }
    return std::ranges::any_of(edits_,
                               [&](const QueuedEdit &queued) { return now >= queued.dueAt; });
}

void AssignmentClient::writeBatch(const std::vector<Candidate> &candidates, Base::Instant now)
{
    written_ = assignment_.value_or(Assignment());
    // An edit stays queued until applying it changes nothing: its write was confirmed, or another
    // write superseded it.
    std::erase_if(edits_, [&](const QueuedEdit &queued) {
        return !apply(written_, queued.edit, candidates);
    });
    if (edits_.empty()) {
        return;
    }
    for (QueuedEdit &queued : edits_) {
        queued.dueAt = now;
    }
    const Base::WriteId writeId(writeIdPrefix_ + std::to_string(++writes_));
    writer_.emplace(Platform::PutObject{assignmentKey(), version_, encode(written_), writeId});
    pendingWrite_ = sender_->send(writer_->start());
}

std::optional<Base::Instant> AssignmentClient::nextWakeUp() const
{
    std::optional<Base::Instant> wakeUp = readAt_;
    const auto include = [&](Base::Instant at) { wakeUp = wakeUp ? std::min(*wakeUp, at) : at; };
    if (lastRead_) {
        include(*lastRead_ + pollInterval());
    }
    if (retryWriteAt_) {
        include(*retryWriteAt_);
    }
    for (const QueuedEdit &queued : edits_) {
        if (!writer_) {
            include(backoffUntil_ ? std::max(*backoffUntil_, queued.dueAt) : queued.dueAt);
        }
    }
    return wakeUp;
}

Base::Duration AssignmentClient::nextBackoff()
{
    // Takeovers and handovers retry earlier than deferred edits.
    const bool isDeferred = std::ranges::all_of(edits_, &QueuedEdit::isDeferred);
    const Base::Duration first
        = isDeferred ? std::max(initialBackoff, scaled(deferredBackoffPerDaemon, fleetSize_))
                     : initialBackoff;
    return randomUpTo(first * (1 << consecutiveConflicts_));
}

Base::Duration AssignmentClient::readSpacing() const
{
    return std::clamp(scaled(readSpacingPerDaemon, fleetSize_), minReadSpacing, maxReadSpacing);
}

Base::Duration AssignmentClient::pollInterval() const
{
    return std::clamp(scaled(pollIntervalPerDaemon, fleetSize_), minPollInterval, maxPollInterval);
}

Base::Duration AssignmentClient::randomUpTo(Base::Duration bound)
{
    return Base::Duration(
        static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(bound.count()) + 1)));
}

} // namespace Ownership
