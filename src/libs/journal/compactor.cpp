#include "compactor.h"

#include "codec.h"

#include <algorithm>
#include <iterator>

namespace Journal {

namespace {

/// Splits a partition into pieces that each fit into one object.
void appendPieces(Base::PartitionId id,
                  const ReplayedPartition &partition,
                  Base::Bytes limit,
                  std::vector<PartitionState> &pieces,
                  std::vector<Base::Bytes> &sizes)
{
    pieces.push_back({id, partition.adopted, partition.released, {}});
    sizes.emplace_back();
    for (const auto &[program, snapshot] : partition.programs) {
        const Base::Bytes size = sizeBound(snapshot.state);
        if (sizes.back().value() > 0 && sizes.back() + size > limit) {
            pieces.push_back({id, partition.adopted, partition.released, {}});
            sizes.emplace_back();
        }
        pieces.back().programs.push_back(snapshot.state);
        sizes.back() += size;
    }
}

// Upper bound of a partition's encoded fields besides its programs.
constexpr Base::Bytes partitionOverhead{500};

} // namespace

Compactor::Compactor(Base::IncarnationId incarnation, CompactorSettings settings)
    : incarnation_(std::move(incarnation))
    , settings_(settings)
    , calls_(settings.storeTimeout, settings.storeRetryInterval)
    , rateLimiter_(settings.writesPerSecond, settings.writeBurst)
{}

void Compactor::segmentStored(SegmentStored stored, Base::Instant now)
{
    if (phase_ != Phase::Idle) {
        deferredSegments_.push_back(std::move(stored));
        return;
    }
    apply(std::move(stored));
    if (isCompactionDue()) {
        startCompaction(now);
    }
}

void Compactor::apply(SegmentStored stored)
{
    for (Record &record : stored.records) {
        replay_.apply(std::move(record));
    }
    appliedThrough_ = stored.number;
    appliedSequence_ = stored.last;
    liveBytes_ += stored.size;
}

bool Compactor::isCompactionDue() const
{
    const std::uint64_t live = appliedThrough_.next().value() - firstLive_.value();
    return liveBytes_ >= settings_.compactAfterBytes || live >= settings_.compactAfterSegments;
}

void Compactor::removePartition(Base::PartitionId partition)
{
    if (phase_ != Phase::Idle) {
        deferredRemovals_.push_back(partition);
        return;
    }
    replay_.erase(partition);
}

void Compactor::requestCompaction(Base::Instant now)
{
    const bool hasLive = appliedThrough_ >= firstLive_;
    if (phase_ == Phase::Idle && hasLive) {
        startCompaction(now);
    }
}

void Compactor::startCompaction(Base::Instant now)
{
    if (isStopped_) {
        return;
    }
    phase_ = Phase::WritingChunks;
    planChunks();
    advance(now);
}

void Compactor::planChunks()
{
    for (auto &[id, partition] : replay_.partitions()) {
        for (auto &[program, snapshot] : partition.programs) {
            planProgram(id, snapshot);
        }
    }
}

void Compactor::planProgram(Base::PartitionId partition, ProgramSnapshot &program)
{
    // Programs share objects, so that the number of writes does not grow with the number of calls.
    std::vector<SnapshotChunk> &chunks = program.state.chunks;
    for (CallResult &turn : program.tail) {
        const Base::Bytes size = sizeBound(turn);
        const bool hasRoom = !chunks_.empty() && chunks_.back().partition == partition
                             && chunks_.back().size + size <= settings_.maxObjectBytes;
        if (!hasRoom) {
            chunks_.push_back({partition, chunks_.size()});
        }
        ChunkJob &job = chunks_.back();
        if (job.chunkIndexes.try_emplace(turn.program, chunks.size()).second) {
            chunks.push_back({{}, turn.number, turn.number, {}});
        }
        chunks.back().last = turn.number;
        chunks.back().size += size;
        job.size += size;
        job.turns.push_back(std::move(turn));
    }
    program.tail.clear();
}

std::string Compactor::chunkName(const ChunkJob &job) const
{
    // The incarnation in the name avoids collisions with objects that an earlier owner wrote in an
    // unfinished compaction.
    std::string name = incarnation_.text() + ".history." + std::to_string(appliedThrough_.value())
                       + "." + std::to_string(job.ordinal);
    if (job.attempt > 0) {
        name += "-" + std::to_string(job.attempt);
    }
    return name;
}

void Compactor::advance(Base::Instant now)
{
    enterNextPhase();
    while (calls_.inFlight() < settings_.maxWritesInFlight && sendNextRequest(now)) {
        rateLimiter_.consume();
        enterNextPhase();
    }
    for (Platform::StoreRequest &request : calls_.takeRequests()) {
        actions_.emplace_back(SendStoreRequest{std::move(request)});
    }
}

void Compactor::enterNextPhase()
{
    if (phase_ == Phase::WritingChunks && chunks_.empty() && chunksInFlight_.empty()) {
        planParts();
        phase_ = Phase::WritingParts;
    }
    if (phase_ == Phase::WritingParts && parts_.empty() && partsInFlight_.empty()) {
        phase_ = Phase::WritingCheckpoint;
    }
}

bool Compactor::sendNextRequest(Base::Instant now)
{
    const bool mustWriteCheckpoint = phase_ == Phase::WritingCheckpoint && !checkpointCall_;
    const bool hasWork
        = !chunks_.empty() || !parts_.empty() || mustWriteCheckpoint || !deletions_.empty();
    if (isStopped_ || !hasWork || !rateLimiter_.isAvailable(now)) {
        return false;
    }
    if (!chunks_.empty()) {
        ChunkJob job = std::move(chunks_.front());
        chunks_.pop_front();
        sendChunk(std::move(job), now);
    } else if (!parts_.empty()) {
        partsInFlight_.insert(calls_.put(std::move(parts_.front()), now));
        parts_.pop_front();
    } else if (mustWriteCheckpoint) {
        sendCheckpoint(now);
    } else {
        calls_.remove(deletions_.front(), now);
        deletions_.pop_front();
    }
    return true;
}

Platform::PutObject Compactor::newObject(Platform::ObjectKey key, std::string body)
{
    ++writes_;
    const Base::WriteId writeId(incarnation_.text() + ".compact." + std::to_string(writes_));
    return {std::move(key), Platform::ObjectVersion(), std::move(body), writeId};
}

void Compactor::sendChunk(ChunkJob job, Base::Instant now)
{
    const std::string name = chunkName(job);
    for (const auto &[program, chunkIndex] : job.chunkIndexes) {
        ProgramState &state = replay_.find(job.partition)->programs.at(program).state;
        state.chunks[chunkIndex].name = name;
    }
    std::string body = encode(HistoryChunk{job.partition, job.turns});
    const StoreCallId call = calls_.put(newObject(snapshotKey(name), std::move(body)), now);
    chunksInFlight_.emplace(call, std::move(job));
}

void Compactor::planParts()
{
    checkpoint_ = Checkpoint{incarnation_, appliedThrough_.next(), appliedSequence_, {}, {}};
    std::vector<PartitionState> pieces;
    std::vector<Base::Bytes> sizes;
    for (const auto &[id, partition] : replay_.partitions()) {
        appendPieces(id, partition, settings_.maxObjectBytes, pieces, sizes);
    }
    Base::Bytes total;
    for (const Base::Bytes size : sizes) {
        total += size + partitionOverhead;
    }
    if (total <= settings_.maxObjectBytes) {
        checkpoint_.partitions = std::move(pieces);
        return;
    }
    Checkpoint part;
    Base::Bytes partSize;
    const auto closePart = [&] {
        const std::string name = incarnation_.text() + ".part."
                                 + std::to_string(checkpoint_.firstLive.value()) + "."
                                 + std::to_string(checkpoint_.parts.size());
        checkpoint_.parts.push_back(name);
        parts_.push_back(newObject(checkpointPartKey(name), encode(part)));
        part = Checkpoint();
        partSize = Base::Bytes();
    };
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        const Base::Bytes size = sizes[i] + partitionOverhead;
        if (!part.partitions.empty() && partSize + size > settings_.maxObjectBytes) {
            closePart();
        }
        part.partitions.push_back(std::move(pieces[i]));
        partSize += size;
    }
    closePart();
}

void Compactor::sendCheckpoint(Base::Instant now)
{
    Platform::PutObject put = newObject(checkpointKey(incarnation_), encode(checkpoint_));
    put.expected = checkpointVersion_;
    checkpointCall_ = calls_.put(std::move(put), now);
}

void Compactor::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    if (const std::optional<FinishedCall> finished = calls_.handle(reply, now)) {
        handleFinished(*finished, now);
    }
    advance(now);
}

void Compactor::handleFinished(const FinishedCall &finished, Base::Instant now)
{
    if (const auto chunk = chunksInFlight_.extract(finished.call)) {
        chunkFinished(std::move(chunk.mapped()), finished.result);
    } else if (partsInFlight_.erase(finished.call) == 0 && checkpointCall_ == finished.call) {
        checkpointCall_.reset();
        checkpointFinished(finished.result, now);
    }
}

void Compactor::chunkFinished(ChunkJob job, const StoreResult &result)
{
    if (std::holds_alternative<Platform::WriteConfirmed>(result)) {
        return;
    }
    ++job.attempt;
    chunks_.push_back(std::move(job));
}

void Compactor::checkpointFinished(const StoreResult &result, Base::Instant now)
{
    const auto *confirmed = std::get_if<Platform::WriteConfirmed>(&result);
    if (!confirmed) {
        // Only this incarnation writes its checkpoint, so a lost write is unexpected. No segment
        // may be deleted without the checkpoint.
        isStopped_ = true;
        return;
    }
    checkpointVersion_ = confirmed->version;
    planDeletions();
    firstLive_ = checkpoint_.firstLive;
    liveBytes_ = Base::Bytes();
    checkpoint_ = Checkpoint();
    phase_ = Phase::Idle;
    actions_.emplace_back(CheckpointWritten{firstLive_});
    for (SegmentStored &stored : std::exchange(deferredSegments_, {})) {
        apply(std::move(stored));
    }
    for (const Base::PartitionId partition : std::exchange(deferredRemovals_, {})) {
        replay_.erase(partition);
    }
    if (isCompactionDue()) {
        startCompaction(now);
    }
}

void Compactor::planDeletions()
{
    for (auto number = firstLive_; number < checkpoint_.firstLive; number = number.next()) {
        deletions_.push_back(segmentKey(incarnation_, number));
    }
    for (const std::string &part : std::exchange(oldParts_, checkpoint_.parts)) {
        deletions_.push_back(checkpointPartKey(part));
    }
    for (const std::string &chunk : replay_.takeObsoleteChunks()) {
        deletions_.push_back(snapshotKey(chunk));
    }
}

void Compactor::tick(Base::Instant now)
{
    calls_.tick(now);
    advance(now);
}

std::optional<Base::Instant> Compactor::nextWakeUp() const
{
    std::optional<Base::Instant> earliest = calls_.nextWakeUp();
    const bool hasWork = !chunks_.empty() || !parts_.empty() || !deletions_.empty()
                         || (phase_ == Phase::WritingCheckpoint && !checkpointCall_);
    if (!isStopped_ && hasWork && calls_.inFlight() < settings_.maxWritesInFlight) {
        const Base::Instant allowed = rateLimiter_.availableAt();
        earliest = earliest ? std::min(*earliest, allowed) : allowed;
    }
    return earliest;
}

std::vector<CompactorAction> Compactor::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Journal
