#pragma once

#include "journalreader.h"
#include "journalwriter.h"

namespace Journal {

struct RemovalSettings
{
    Base::IncarnationId owner;
    std::size_t maxCallsInFlight = 4;
    /// Pace of the deletions.
    double deletionsPerSecond = 20;
    double deletionBurst = 10;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(500);
    Base::Duration storeTimeout = std::chrono::milliseconds(2000);
};

/// Nothing of the journal is left in the store.
struct RemovalDone
{
    Base::IncarnationId owner;
};

/// The journal could not be read; it stays as it is.
struct RemovalFailed
{
    Base::Error error;
};

using RemovalAction = std::variant<SendStore, RemovalDone, RemovalFailed>;

/// Deletes a dead incarnation's segments and checkpoint. Only for an owner that the platform lists
/// as gone and whose partitions have all been adopted: a paused owner is stopped by its seal.
/// Histories in snapshot objects stay; they belong to the programs' new owners.
class JournalRemoval
{
public:
    explicit JournalRemoval(RemovalSettings settings);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<RemovalAction> takeActions();

private:
    void proceed(Base::Instant now);
    void planDeletions();

    RemovalSettings settings_;
    StoreCalls calls_;
    WriteAllowance allowance_;
    JournalReader reader_;
    bool isPlanned_ = false;
    bool isDone_ = false;
    std::deque<Platform::ObjectKey> deletions_;
    std::vector<RemovalAction> actions_;
};

} // namespace Journal
