#pragma once

#include "journalwriter.h"
#include "replay.h"
#include "storecalls.h"

namespace Journal {

struct CompactorSettings
{
    /// Size and number of live segments that start a compaction.
    Base::Bytes compactAfterBytes{8 << 20};
    std::uint64_t compactAfterSegments = 1000;
    Base::Bytes maxObjectBytes{Journal::maxObjectBytes};
    /// Rate limit of writes and deletions, which bounds the load on the store.
    double writesPerSecond = 20;
    double writeBurst = 10;
    std::size_t maxWritesInFlight = 4;
    Base::Duration storeRetryInterval = std::chrono::milliseconds(500);
    Base::Duration storeTimeout = std::chrono::milliseconds(2000);
};

/// The checkpoint is stored and contains all segments before `firstLive`.
struct CheckpointWritten
{
    Base::SegmentNumber firstLive;
};

using CompactorAction = std::variant<SendStoreRequest, CheckpointWritten>;

/// Moves program histories from segments to snapshot objects and deletes old segments. It applies
/// stored segments only, so a checkpoint never contains an uncommitted record.
class Compactor
{
public:
    explicit Compactor(Base::IncarnationId incarnation, CompactorSettings settings = {});

    /// Applies a stored segment. Segments must be passed in order.
    void segmentStored(SegmentStored stored, Base::Instant now);
    /// Removes a partition from later checkpoints; for partitions adopted by their next owner.
    void removePartition(Base::PartitionId partition);
    /// Starts a compaction regardless of the thresholds, unless one is in progress.
    void requestCompaction(Base::Instant now);

    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<CompactorAction> takeActions();

    bool isIdle() const { return phase_ == Phase::Idle && deletions_.empty(); }
    /// Size of the segments that no checkpoint contains.
    Base::Bytes liveBytes() const { return liveBytes_; }

private:
    enum class Phase {
        Idle,
        WritingChunks,
        WritingParts,
        WritingCheckpoint
    };

    /// Turns of one partition that are being written to a snapshot object.
    struct ChunkJob
    {
        Base::PartitionId partition;
        std::uint64_t ordinal = 0;
        std::uint32_t attempt = 0;
        Base::Bytes size;
        std::vector<CallResult> turns;
        /// Index of the chunk in ProgramState::chunks of each program with turns in the object.
        std::map<Base::ProgramId, std::size_t> chunkIndexes;
    };

    void startCompaction(Base::Instant now);
    void planChunks();
    void planProgram(Base::PartitionId partition, ProgramSnapshot &program);
    std::string chunkName(const ChunkJob &job) const;
    void planParts();
    void planDeletions();
    void advance(Base::Instant now);
    bool sendNextRequest(Base::Instant now);
    void sendChunk(ChunkJob job, Base::Instant now);
    void sendCheckpoint(Base::Instant now);
    void handleFinished(const FinishedCall &finished, Base::Instant now);
    void chunkFinished(ChunkJob job, const StoreResult &result);
    void checkpointFinished(const StoreResult &result, Base::Instant now);
    void enterNextPhase();
    void apply(SegmentStored stored);
    bool isCompactionDue() const;
    Platform::PutObject newObject(Platform::ObjectKey key, std::string body);

    Base::IncarnationId incarnation_;
    CompactorSettings settings_;
    StoreCalls calls_;
    WriteRateLimiter rateLimiter_;
    Replay replay_;
    Phase phase_ = Phase::Idle;
    /// Stored segments and removed partitions that are applied once the checkpoint is written.
    std::vector<SegmentStored> deferredSegments_;
    std::vector<Base::PartitionId> deferredRemovals_;
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
    Base::SegmentNumber appliedThrough_;
    EntrySequence appliedSequence_;
    Base::Bytes liveBytes_;
    std::uint64_t writes_ = 0;
    bool isStopped_ = false;
    std::vector<CompactorAction> actions_;
};

} // namespace Journal
