#include "journalhandover.h"

#include <algorithm>

namespace Journal {

JournalHandover::JournalHandover(HandoverSettings settings)
    : settings_(std::move(settings))
    , calls_(settings_.storeTimeout, settings_.storeRetryInterval)
    , reader_(settings_.owner, settings_.maxReadsInFlight)
{}

void JournalHandover::start(Base::Instant now)
{
    deadline_ = now + settings_.releaseTimeout;
    reader_.start(calls_, now);
    advance(now);
}

void JournalHandover::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const std::optional<FinishedCall> finished = calls_.handle(reply, now);
    if (finished && !isDone_) {
        reader_.handle(*finished, calls_, now);
    }
    advance(now);
}

void JournalHandover::tick(Base::Instant now)
{
    calls_.tick(now);
    if (resumeAt_ && *resumeAt_ <= now) {
        resumeAt_.reset();
        // Compaction may have deleted the absent segment, so the checkpoint is read again too.
        reader_.start(calls_, now);
    }
    advance(now);
}

void JournalHandover::advance(Base::Instant now)
{
    if (!isDone_) {
        if (reader_.error()) {
            fail(*reader_.error());
        } else if (reader_.isAtEnd() && !resumeAt_) {
            const bool areAllReleased
                = std::all_of(settings_.partitions.begin(),
                              settings_.partitions.end(),
                              [this](Base::PartitionId id) { return isReleased(id); });
            if (areAllReleased) {
                finish();
            } else {
                resumeAt_ = now + settings_.storeRetryInterval;
            }
        }
    }
    if (!isDone_ && now >= deadline_) {
        Base::Error error;
        error.code = Base::ErrorCode::Timeout;
        error.step = Base::Step::Recover;
        error.peer = settings_.owner.text();
        const auto timeout
            = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.releaseTimeout);
        error.message = "not all of " + std::to_string(settings_.partitions.size())
                        + " partitions were released within " + std::to_string(timeout.count())
                        + " ms";
        fail(std::move(error));
    }
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
}

bool JournalHandover::isReleased(Base::PartitionId partition)
{
    const ReplayedPartition *found = reader_.replay().find(partition);
    return found && found->released && found->released->successor == settings_.self;
}

void JournalHandover::finish()
{
    isDone_ = true;
    HandoverDone done;
    done.owner = settings_.owner;
    for (const Base::PartitionId partition : settings_.partitions) {
        done.partitions[partition] = std::move(*reader_.replay().find(partition));
    }
    actions_.emplace_back(std::move(done));
}

void JournalHandover::fail(Base::Error error)
{
    isDone_ = true;
    actions_.emplace_back(HandoverFailed{std::move(error)});
}

std::optional<Base::Instant> JournalHandover::nextWakeUp() const
{
    if (isDone_) {
        return std::nullopt;
    }
    Base::Instant earliest = deadline_;
    if (resumeAt_) {
        earliest = std::min(earliest, *resumeAt_);
    }
    if (const auto wakeUp = calls_.nextWakeUp()) {
        earliest = std::min(earliest, *wakeUp);
    }
    return earliest;
}

std::vector<HandoverAction> JournalHandover::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
