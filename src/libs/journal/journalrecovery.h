#pragma once

#include "journalreader.h"
#include "journalwriter.h"

#include <set>

namespace Journal {

struct RecoverySettings
{
    /// The incarnation whose journal is recovered.
    Base::IncarnationId owner;
    /// The daemon that takes over.
    Base::IncarnationId self;
    std::set<Base::PartitionId> partitions;
    /// Distinguishes this recovery's writes from those of all others.
    Base::WriteId writeId;
    std::size_t maxReadsInFlight = 16;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(200);
    Base::Duration storeTimeout = std::chrono::milliseconds(1000);
    Base::Duration witnessRetryInterval = std::chrono::milliseconds(200);
};

/// Read the owner's lease object afresh from the store (not from a cache) and call leaseRead().
struct LeaseNeeded
{
    Base::IncarnationId owner;
};

/// No witness could be sealed yet: nothing of the owner's programs may be served.
struct RecoveryBlocked
{
    Base::Error error;
};

/// An open call of the dead owner: it was dispatched or may have been.
struct UncertainCall
{
    Base::PartitionId partition;
    Base::ProgramId program;
    Base::CallNumber number;
    bool isIdempotent = false;
    /// The intent was only seen at a witness; the store did not have it.
    bool isFromWitness = false;

    bool operator==(const UncertainCall &) const = default;
};

/// What the journal and a witness had. A partition asked for that is not `adopted` in here
/// has to be recovered from its earlier owner.
struct RecoveryDone
{
    Base::IncarnationId owner;
    std::map<Base::PartitionId, ReplayedPartition> partitions;
    std::vector<UncertainCall> uncertain;
    /// Owner and witnesses are all gone: a turn told as done may be missing, and every call
    /// that is not recorded may have run.
    bool isDegraded = false;
    /// The seal's position.
    Base::SegmentNumber sealedAt;
};

/// The journal or an object in it could not be understood.
struct RecoveryFailed
{
    Base::Error error;
};

using RecoveryAction = std::
    variant<SendStore, SendMessage, LeaseNeeded, RecoveryBlocked, RecoveryDone, RecoveryFailed>;

/// Takes over the journal of one dead incarnation: reads it, seals it at the store, then reads
/// the lease, then seals a witness, and merges what both had. Two may run at once.
class JournalRecovery
{
public:
    explicit JournalRecovery(RecoverySettings settings);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    /// Answers LeaseNeeded. Empty if the lease names no witnesses.
    void leaseRead(const std::set<Base::IncarnationId> &witnesses, Base::Instant now);
    void handle(const WitnessSealReply &reply, Base::Instant now);
    /// The platform lists this incarnation (owner or witness) as gone.
    void incarnationGone(const Base::IncarnationId &incarnation, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<RecoveryAction> takeActions();

    bool isDone() const { return phase_ == Phase::Done; }

private:
    enum class Phase {
        Reading,
        Sealing,
        CheckingCheckpoint,
        AwaitingLease,
        SealingWitnesses,
        Done
    };

    /// What one sealed witness has handed out so far.
    struct WitnessCopy
    {
        std::vector<Entry> entries;
        EntrySequence next;
        bool isComplete = false;
    };

    void takeFinished(const FinishedCall &finished, Base::Instant now);
    void afterReading(Base::Instant now);
    void seal(Base::Instant now);
    void checkCheckpoint(Base::Instant now);
    void checkpointChecked(const ReadAnswered &answer, Base::Instant now);
    void askWitnesses(Base::Instant now);
    void ask(const Base::IncarnationId &witness);
    void finishIfAllGone();
    void applyWitness(WitnessCopy copy);
    void finish(bool isDegraded);
    void noteUncertain(RecoveryDone &done) const;
    void fail(const Base::Error &error);
    void sendRequests();

    RecoverySettings settings_;
    StoreCalls calls_;
    JournalReader reader_;
    Phase phase_ = Phase::Reading;
    std::optional<StoreCallId> sealCall_;
    std::optional<StoreCallId> checkCall_;
    std::set<Base::IncarnationId> witnesses_;
    std::set<Base::IncarnationId> gone_;
    std::map<Base::IncarnationId, WitnessCopy> copies_;
    std::optional<Base::Instant> askAgainAt_;
    bool isBlockTold_ = false;
    /// Intents that only a witness had.
    std::set<std::pair<Base::ProgramId, Base::CallNumber>> witnessIntents_;
    std::vector<RecoveryAction> actions_;
};

} // namespace Journal
