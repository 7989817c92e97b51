#pragma once

#include "journalreader.h"
#include "journalwriter.h"

#include <set>

namespace Journal {

struct HandoverSettings
{
    /// The live daemon that released the partitions.
    Base::IncarnationId owner;
    /// The daemon that the partitions are released to.
    Base::IncarnationId self;
    std::set<Base::PartitionId> partitions;
    std::size_t maxReadsInFlight = 16;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(100);
    Base::Duration storeTimeout = std::chrono::milliseconds(1000);
    /// Time within which the releases must be stored.
    Base::Duration releaseTimeout = std::chrono::seconds(5);
};

/// State of the partitions at their release.
struct HandoverDone
{
    Base::IncarnationId owner;
    std::map<Base::PartitionId, ReplayedPartition> partitions;
};

/// The journal cannot be read, or the partitions were not released in time. JournalRecovery takes
/// over instead once the owner's lease has expired.
struct HandoverFailed
{
    Base::Error error;
};

using HandoverAction = std::variant<SendStoreRequest, HandoverDone, HandoverFailed>;

/// Reads released partitions from the journal of a live daemon without sealing the journal.
class JournalHandover
{
public:
    explicit JournalHandover(HandoverSettings settings);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<HandoverAction> takeActions();

private:
    void advance(Base::Instant now);
    bool isReleased(Base::PartitionId partition);
    void finish();
    void fail(Base::Error error);

    HandoverSettings settings_;
    StoreCalls calls_;
    JournalReader reader_;
    Base::Instant deadline_;
    std::optional<Base::Instant> resumeAt_;
    bool isDone_ = false;
    std::vector<HandoverAction> actions_;
};

} // namespace Journal
