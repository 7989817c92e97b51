#pragma once

#include "journalwriter.h"
#include "replay.h"
#include "storecalls.h"

namespace Journal {

struct CompactorSettings
{
    /// Live segments that start a compaction, by bytes and by number.
    Base::Bytes compactAfterBytes{8 << 20};
    std::uint64_t compactAfterSegments = 1000;
    Base::Bytes maxObjectBytes{Journal::maxObjectBytes};
    /// Pace of writes and deletions, so that the store is spared.
    double writesPerSecond = 20;
    double writeBurst = 10;
    std::size_t maxWritesInFlight = 4;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(500);
    Base::Duration storeTimeout = std::chrono::milliseconds(2000);
};

/// Segments before this one are contained in the checkpoint.
struct CheckpointWritten
{
    Base::SegmentNumber firstLive;
};

using CompactorAction = std::variant<SendStore, CheckpointWritten>;

/// Moves program histories from segments to snapshot objects and deletes old segments. It folds
/// what the store has, so a checkpoint never contains a record that is not committed.
class Compactor
{
public:
    explicit Compactor(Base::IncarnationId incarnation, CompactorSettings settings = {});

    /// Takes the writer's SegmentStored, in order.
    void segmentStored(SegmentStored stored, Base::Instant now);
    /// The partition's next owner has adopted it: checkpoints need not carry it any longer.
    void partitionForgotten(Base::PartitionId partition);
    /// Compacts now, whatever the thresholds say.
    void requestCompaction(Base::Instant now);

    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<CompactorAction> takeActions();

    bool isIdle() const { return phase_ == Phase::Idle && deletions_.empty(); }
    /// Segments that are not contained in a checkpoint.
    Base::Bytes liveBytes() const { return liveBytes_; }

private:
    enum class Phase {
        Idle,
        WritingChunks,
        WritingParts,
        WritingCheckpoint
    };

    /// Turns of one partition on their way into a snapshot object.
    struct ChunkJob
    {
        Base::PartitionId partition;
        std::uint64_t ordinal = 0;
        std::uint32_t attempt = 0;
        Base::Bytes size;
        std::vector<CallResult> turns;
        /// Programs with turns in the object, and the place of the chunk in each one's list.
        std::map<Base::ProgramId, std::size_t> places;
    };

    void begin(Base::Instant now);
    void planChunks();
    void planProgram(Base::PartitionId partition, ProgramSnapshot &program);
    std::string chunkName(const ChunkJob &job) const;
    void planParts();
    void planDeletions();
    void proceed(Base::Instant now);
    bool sendNext(Base::Instant now);
    void sendChunk(ChunkJob job, Base::Instant now);
    void sendCheckpoint(Base::Instant now);
    void takeFinished(const FinishedCall &finished, Base::Instant now);
    void chunkFinished(ChunkJob job, const StoreResult &result);
    void checkpointFinished(const StoreResult &result, Base::Instant now);
    void enterNextPhase();
    void fold(SegmentStored stored);
    bool isDue() const;
    Platform::PutObject newObject(Platform::ObjectKey key, std::string body);

    Base::IncarnationId incarnation_;
    CompactorSettings settings_;
    StoreCalls calls_;
    WriteAllowance allowance_;
    Replay replay_;
    Phase phase_ = Phase::Idle;
    /// Segments stored while a checkpoint is made; folded afterwards.
    std::vector<SegmentStored> waiting_;
    std::vector<Base::PartitionId> forgotten_;
    std::deque<ChunkJob> chunks_;
    std::map<StoreCallId, ChunkJob> chunksInFlight_;
    std::deque<Platform::PutObject> parts_;
    std::set<StoreCallId> partsInFlight_;
    std::optional<StoreCallId> checkpointCall_;
    std::deque<Platform::ObjectKey> deletions_;
    Checkpoint checkpoint_;
    std::vector<std::string> oldParts_;
    Platform::ObjectVersion checkpointVersion_;
    Base::SegmentNumber firstLive_{1};
    Base::SegmentNumber foldedThrough_;
    EntrySequence foldedSequence_;
    Base::Bytes liveBytes_;
    std::uint64_t writes_ = 0;
    bool isStopped_ = false;
    std::vector<CompactorAction> actions_;
};

} // namespace Journal
