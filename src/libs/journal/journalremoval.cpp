#include "journalremoval.h"

namespace Journal {

JournalRemoval::JournalRemoval(RemovalSettings settings)
    : settings_(std::move(settings))
    , calls_(settings_.storeTimeout, settings_.storeRetryInterval)
    , rateLimiter_(settings_.deletionsPerSecond, settings_.deletionBurst)
    , reader_(settings_.owner, settings_.maxCallsInFlight)
{}

void JournalRemoval::start(Base::Instant now)
{
    reader_.start(calls_, now);
    advance(now);
}

void JournalRemoval::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (finished && !isPlanned_) {
        reader_.handle(*finished, calls_, now);
    }
    advance(now);
}

void JournalRemoval::advance(Base::Instant now)
{
    if (reader_.error() && !isDone_) {
        isDone_ = true;
        actions_.emplace_back(RemovalFailed{*reader_.error()});
    }
    if (reader_.isAtEnd() && !isPlanned_) {
        isPlanned_ = true;
        calls_.cancelAll();
        planDeletions();
    }
    while (!deletions_.empty() && calls_.inFlight() < settings_.maxCallsInFlight
           && rateLimiter_.isAvailable(now)) {
        rateLimiter_.consume();
        calls_.remove(deletions_.front(), now);
        deletions_.pop_front();
    }
    if (isPlanned_ && deletions_.empty() && calls_.inFlight() == 0 && !isDone_) {
        isDone_ = true;
        actions_.emplace_back(RemovalDone{settings_.owner});
    }
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
}

void JournalRemoval::planDeletions()
{
    // The seal and the newest segments are deleted first and the checkpoint last, so that an
    // interrupted removal leaves a journal without gaps and can be repeated.
    const Base::SegmentNumber first = reader_.firstLive();
    for (std::uint64_t number = reader_.end().value(); number >= first.value(); --number) {
        deletions_.push_back(segmentKey(settings_.owner, Base::SegmentNumber(number)));
    }
    for (const std::string &part : reader_.checkpointParts()) {
        deletions_.push_back(checkpointPartKey(part));
    }
    deletions_.push_back(checkpointKey(settings_.owner));
}

void JournalRemoval::tick(Base::Instant now)
{
    calls_.tick(now);
    advance(now);
}

std::optional<Base::Instant> JournalRemoval::nextWakeUp() const
{
    if (isDone_) {
        return std::nullopt;
    }
    std::optional<Base::Instant> earliest = calls_.nextWakeUp();
    if (!deletions_.empty() && calls_.inFlight() < settings_.maxCallsInFlight) {
        const Base::Instant allowed = rateLimiter_.availableAt();
        earliest = earliest ? std::min(*earliest, allowed) : allowed;
    }
    return earliest;
}

std::vector<RemovalAction> JournalRemoval::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
