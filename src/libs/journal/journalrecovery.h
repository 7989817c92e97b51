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

/// Requests a read of the owner's lease object from the store, not from a cache; leaseRead() takes
/// the result.
struct LeaseNeeded
{
    Base::IncarnationId owner;
};

/// No witness could be sealed yet, so none of the owner's programs may be served.
struct RecoveryBlocked
{
    Base::Error error;
};

/// An open call of the dead owner, which may have been dispatched.
struct UncertainCall
{
    Base::PartitionId partition;
    Base::ProgramId program;
    Base::CallNumber number;
    bool isIdempotent = false;
    /// The intent was found at a witness but not in the store.
    bool isFromWitness = false;

    bool operator==(const UncertainCall &) const = default;
};

/// State recovered from the journal and a witness. A requested partition without `adopted` must be
/// recovered from its earlier owner.
struct RecoveryDone
{
    Base::IncarnationId owner;
    std::map<Base::PartitionId, ReplayedPartition> partitions;
    std::vector<UncertainCall> uncertain;
    /// The owner and all witnesses are gone: an acknowledged turn may be missing, and any call
    /// without a record may have run.
    bool isDegraded = false;
    /// The seal's position.
    Base::SegmentNumber sealedAt;
};

/// An object of the journal could not be decoded.
struct RecoveryFailed
{
    Base::Error error;
};

using RecoveryAction = std::variant<SendStoreRequest,
                                    SendMessage,
                                    LeaseNeeded,
                                    RecoveryBlocked,
                                    RecoveryDone,
                                    RecoveryFailed>;

/// Takes over the journal of one dead incarnation: reads it, seals it in the store, reads the
/// lease, seals a witness, and merges the entries of both. Two recoveries of one journal may run
/// concurrently.
class JournalRecovery
{
public:
    explicit JournalRecovery(RecoverySettings settings);

    void start(Base::Instant now);
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    /// Takes the result of LeaseNeeded; empty if the lease names no witnesses.
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

    /// Entries received from one sealed witness so far.
    struct WitnessCopy
    {
        std::vector<Entry> entries;
        EntrySequence next;
        bool isComplete = false;
    };

    void handleFinished(const FinishedCall &finished, Base::Instant now);
    void checkReadingDone(Base::Instant now);
    void seal(Base::Instant now);
    void checkCheckpoint(Base::Instant now);
    void checkpointChecked(const ReadAnswered &answer, Base::Instant now);
    void requestSeals(Base::Instant now);
    void requestSeal(const Base::IncarnationId &witness);
    void finishIfAllGone();
    void applyWitness(WitnessCopy copy);
    void finish(bool isDegraded);
    void collectUncertainCalls(RecoveryDone &done) const;
    void fail(const Base::Error &error);
    void sendRequests();

    RecoverySettings settings_;
    StoreCalls calls_;
    JournalReader reader_;
    Phase phase_ = Phase::Reading;
    std::optional<StoreCallId> sealCall_;
    std::optional<StoreCallId> checkpointCheckCall_;
    std::set<Base::IncarnationId> witnesses_;
    std::set<Base::IncarnationId> gone_;
    std::map<Base::IncarnationId, WitnessCopy> copies_;
    std::optional<Base::Instant> sealRetryAt_;
    bool hasReportedBlocked_ = false;
    /// Intents found at a witness but not in the store.
    std::set<std::pair<Base::ProgramId, Base::CallNumber>> witnessIntents_;
    std::vector<RecoveryAction> actions_;
};

} // namespace Journal
