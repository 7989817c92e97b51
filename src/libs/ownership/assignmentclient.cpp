#include "assignmentclient.h"

#include <base/visitor.h>

#include <algorithm>

namespace Ownership {

namespace {

constexpr Base::Duration readSpacingPerDaemon = std::chrono::milliseconds(10);
constexpr Base::Duration shortestReadSpacing = std::chrono::milliseconds(100);
constexpr Base::Duration longestReadSpacing = std::chrono::seconds(5);

constexpr Base::Duration pollPausePerDaemon = std::chrono::milliseconds(100);
constexpr Base::Duration shortestPollPause = std::chrono::seconds(2);
constexpr Base::Duration longestPollPause = std::chrono::seconds(30);

constexpr Base::Duration lazyEditPerDaemon = std::chrono::milliseconds(100);
constexpr Base::Duration shortestLazyEdit = std::chrono::milliseconds(500);

constexpr Base::Duration freshness = std::chrono::milliseconds(50);
constexpr Base::Duration editBatchPerDaemon = std::chrono::milliseconds(1);

constexpr Base::Duration firstBackOff = std::chrono::milliseconds(20);
constexpr Base::Duration lazyBackOffPerDaemon = std::chrono::milliseconds(5);
constexpr int backOffDoublings = 6;

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

void AssignmentClient::noteVersion(Platform::ObjectVersion version, Base::Instant now)
{
    if (version > version_) {
        readSoon(now);
    }
}

void AssignmentClient::addEdit(const AssignmentEdit &edit, Base::Instant now)
{
    const Base::Duration batch
        = std::max(settings_.editBatch, scaled(editBatchPerDaemon, fleetSize_));
    addEditAt({edit, now + batch, false});
}

void AssignmentClient::addLazyEdit(const AssignmentEdit &edit, Base::Instant now)
{
    // Lazy edits of one daemon share a write.
    if (lazyEditsAt_ <= now) {
        const Base::Duration spread = scaled(lazyEditPerDaemon, fleetSize_);
        lazyEditsAt_ = now + shortestLazyEdit + randomUpTo(spread);
    }
    addEditAt({edit, lazyEditsAt_, true});
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
    if (reading_ == reply.id) {
        reading_.reset();
        handleRead(reply.outcome, now);
        return true;
    }
    if (writing_ == reply.id) {
        writing_.reset();
        handleWrite(reply.outcome, now);
        return true;
    }
    return false;
}

void AssignmentClient::handleRead(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    if (!std::holds_alternative<Platform::StoreUnavailable>(outcome)) {
        freshAt_ = now;
    }
    if (const auto *found = std::get_if<Platform::ObjectFound>(&outcome)) {
        adopt(found->object);
        return;
    }
    if (std::holds_alternative<Platform::ObjectAbsent>(outcome)) {
        adopt(std::nullopt);
        return;
    }
    readAt_ = now + settings_.storeRetry;
}

void AssignmentClient::handleWrite(const Platform::StoreOutcome &outcome, Base::Instant now)
{
    handleProgress(writer_->handle(outcome), now);
}

void AssignmentClient::handleProgress(const Platform::WriteProgress &progress, Base::Instant now)
{
    std::visit(Base::Visitor{[&](const Platform::WriteConfirmed &confirmed) {
                                 writer_.reset();
                                 lostRaces_ = 0;
                                 freshAt_ = now;
                                 adoptWritten(confirmed.version);
                             },
                             [&](const Platform::WriteLost &lost) {
                                 writer_.reset();
                                 lostRaces_ = std::min(lostRaces_ + 1, backOffDoublings);
                                 backOffUntil_ = now + backOff();
                                 freshAt_ = now;
                                 adopt(lost.current);
                             },
                             [&](const Platform::WriteContinues &continues) {
                                 writing_ = sender_->send(continues.operation);
                             },
                             [&](const Platform::WriteUnresolved &) {
                                 retryWriteAt_ = now + settings_.storeRetry;
                             }},
               progress);
}

void AssignmentClient::adopt(const std::optional<Platform::StoredObject> &object)
{
    if (!object) {
        isAbsent_ = !assignment_;
        return;
    }
    isAbsent_ = false;
    // Replies may arrive in another order than they were produced.
    if (object->version <= version_) {
        return;
    }
    if (auto decoded = decodeAssignment(object->body)) {
        assignment_ = std::move(decoded.value());
        version_ = object->version;
    }
}

void AssignmentClient::adoptWritten(Platform::ObjectVersion version)
{
    if (version <= version_) {
        return;
    }
    for (std::size_t i = 0; i < written_.entries.size(); ++i) {
        const Base::IncarnationId &owner = written_.entries[i].owner;
        const bool isGain = !assignment_ || assignment_->entries[i].owner != owner;
        if (isGain && std::ranges::find(gainers_, owner) == gainers_.end()) {
            gainers_.push_back(owner);
        }
    }
    assignment_ = std::move(written_);
    version_ = version;
    isAbsent_ = false;
}

std::vector<Base::IncarnationId> AssignmentClient::takeGainers()
{
    return std::exchange(gainers_, {});
}

void AssignmentClient::tick(const std::vector<Candidate> &candidates, Base::Instant now)
{
    if (!reading_) {
        const bool isPollDue = !lastRead_ || now >= *lastRead_ + pollPause();
        if ((readAt_ && now >= *readAt_) || (isPollDue && !readAt_)) {
            lastRead_ = now;
            readAt_.reset();
            sendRead();
        }
    }
    if (retryWriteAt_ && now >= *retryWriteAt_) {
        retryWriteAt_.reset();
        writing_ = sender_->send(writer_->retry());
    }
    if (!isBatchDue(now)) {
        return;
    }
    // A read is cheaper than a write that meets a conflict.
    if (freshAt_ && now < *freshAt_ + freshness) {
        writeBatch(candidates, now);
    } else if (!reading_) {
        sendRead();
    }
}

void AssignmentClient::sendRead()
{
    reading_ = sender_->send(Platform::GetObject{assignmentKey()});
}

bool AssignmentClient::isBatchDue(Base::Instant now) const
{
    const bool isKnown = assignment_ || isAbsent_;
    if (writer_ || !isKnown || (backOffUntil_ && now < *backOffUntil_)) {
        return false;
    }
    return std::ranges::any_of(edits_,
                               [&](const QueuedEdit &queued) { return now >= queued.dueAt; });
}

void AssignmentClient::writeBatch(const std::vector<Candidate> &candidates, Base::Instant now)
{
    written_ = assignment_.value_or(Assignment());
    // Edits stay queued until they change nothing: after the write is confirmed, or overtaken.
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
    writing_ = sender_->send(writer_->start());
}

std::optional<Base::Instant> AssignmentClient::nextWakeUp() const
{
    std::optional<Base::Instant> wakeUp = readAt_;
    const auto include = [&](Base::Instant at) { wakeUp = wakeUp ? std::min(*wakeUp, at) : at; };
    if (lastRead_) {
        include(*lastRead_ + pollPause());
    }
    if (retryWriteAt_) {
        include(*retryWriteAt_);
    }
    for (const QueuedEdit &queued : edits_) {
        if (!writer_) {
            include(backOffUntil_ ? std::max(*backOffUntil_, queued.dueAt) : queued.dueAt);
        }
    }
    return wakeUp;
}

Base::Duration AssignmentClient::backOff()
{
    // Takeovers and handovers go before what can wait.
    const bool isLazy = std::ranges::all_of(edits_, &QueuedEdit::isLazy);
    const Base::Duration first
        = isLazy ? std::max(firstBackOff, scaled(lazyBackOffPerDaemon, fleetSize_)) : firstBackOff;
    return randomUpTo(first * (1 << lostRaces_));
}

Base::Duration AssignmentClient::readSpacing() const
{
    return std::clamp(
        scaled(readSpacingPerDaemon, fleetSize_), shortestReadSpacing, longestReadSpacing);
}

Base::Duration AssignmentClient::pollPause() const
{
    return std::clamp(scaled(pollPausePerDaemon, fleetSize_), shortestPollPause, longestPollPause);
}

Base::Duration AssignmentClient::randomUpTo(Base::Duration bound)
{
    return Base::Duration(
        static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(bound.count()) + 1)));
}

} // namespace Ownership
