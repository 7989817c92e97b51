#pragma once

#include "journalreader.h"
#include "journalwriter.h"

namespace Journal {

struct RemovalSettings
{
    Base::IncarnationId owner;
    std::size_t maxCallsInFlight = 4;
    /// Rate limit of the deletions.
    double deletionsPerSecond = 20;
    double deletionBurst = 10;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(500);
    Base::Duration storeTimeout = std::chrono::milliseconds(2000);
};

/// The journal's segments and checkpoint are deleted.
struct RemovalDone
{
    Base::IncarnationId owner;
};

/// The journal could not be read and is left unchanged.
struct RemovalFailed
{
    Base::Error error;
};

using RemovalAction = std::variant<SendStoreRequest, RemovalDone, RemovalFailed>;

/// Deletes a dead incarnation's segments and checkpoint. The platform must list the owner as gone
/// and all of its partitions must have been adopted, because only the seal fences a paused owner.
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
    void advance(Base::Instant now);
    void planDeletions();

    RemovalSettings settings_;
    StoreCalls calls_;
    WriteRateLimiter rateLimiter_;
    JournalReader reader_;
    bool isPlanned_ = false;
    bool isDone_ = false;
    std::deque<Platform::ObjectKey> deletions_;
    std::vector<RemovalAction> actions_;
};

} // namespace Journal
