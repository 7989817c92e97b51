#include "journalreader.h"

#include "codec.h"

namespace Journal {

JournalReader::JournalReader(Base::IncarnationId owner, std::size_t maxReadsInFlight)
    : owner_(std::move(owner))
    , maxReadsInFlight_(maxReadsInFlight)
{}

void JournalReader::start(StoreCalls &calls, Base::Instant now)
{
    *this = JournalReader(owner_, maxReadsInFlight_);
    checkpointCall_ = calls.get(checkpointKey(owner_), now);
}

bool JournalReader::handle(const FinishedCall &finished, StoreCalls &calls, Base::Instant now)
{
    const auto *answer = std::get_if<ReadAnswered>(&finished.result);
    if (!answer) {
        return false;
    }
    if (checkpointCall_ == finished.call) {
        checkpointCall_.reset();
        handleCheckpoint(*answer, calls, now);
        return true;
    }
    if (partCalls_.erase(finished.call) > 0) {
        handlePart(*answer, calls, now);
        return true;
    }
    const auto segment = segmentCalls_.find(finished.call);
    if (segment == segmentCalls_.end()) {
        return false;
    }
    bufferedSegments_[segment->second]
        = answer->object ? std::optional(answer->object->body) : std::nullopt;
    segmentCalls_.erase(segment);
    replayInOrder();
    readAhead(calls, now);
    return true;
}

void JournalReader::handleCheckpoint(const ReadAnswered &answer,
                                     StoreCalls &calls,
                                     Base::Instant now)
{
    if (!answer.object) {
        readAhead(calls, now);
        return;
    }
    Base::Result<Checkpoint> checkpoint = decodeCheckpoint(answer.object->body);
    if (!checkpoint) {
        fail(checkpoint.error());
        return;
    }
    checkpointVersion_ = answer.object->version;
    firstLive_ = checkpoint.value().firstLive;
    checkpointParts_ = checkpoint.value().parts;
    nextToReplay_ = firstLive_;
    nextToRead_ = nextToReplay_;
    throughSequence_ = checkpoint.value().throughSequence;
    replay_.load(checkpoint.value().partitions);
    for (const std::string &part : checkpoint.value().parts) {
        partCalls_.insert(calls.get(checkpointPartKey(part), now));
    }
    readAhead(calls, now);
}

void JournalReader::handlePart(const ReadAnswered &answer, StoreCalls &calls, Base::Instant now)
{
    if (!answer.object) {
        // The checkpoint was replaced meanwhile, and its parts were deleted.
        start(calls, now);
        return;
    }
    const Base::Result<Checkpoint> part = decodeCheckpoint(answer.object->body);
    if (!part) {
        fail(part.error());
        return;
    }
    replay_.load(part.value().partitions);
    readAhead(calls, now);
}

void JournalReader::readAhead(StoreCalls &calls, Base::Instant now)
{
    if (isAtEnd_ || error_ || checkpointCall_ || !partCalls_.empty()) {
        return;
    }
    while (segmentCalls_.size() + bufferedSegments_.size() < maxReadsInFlight_) {
        segmentCalls_.emplace(calls.get(segmentKey(owner_, nextToRead_), now), nextToRead_);
        nextToRead_ = nextToRead_.next();
    }
}

void JournalReader::replayInOrder()
{
    while (!isAtEnd_ && !error_) {
        const auto first = bufferedSegments_.find(nextToReplay_);
        if (first == bufferedSegments_.end()) {
            return;
        }
        if (!first->second) {
            isAtEnd_ = true;
            return;
        }
        const std::string body = std::move(*first->second);
        bufferedSegments_.erase(first);
        replaySegment(body);
    }
}

void JournalReader::replaySegment(const std::string &body)
{
    Base::Result<Segment> segment = decodeSegment(body);
    if (!segment) {
        fail(segment.error());
        return;
    }
    for (Entry &entry : segment.value().entries) {
        if (entry.incarnation != owner_) {
            continue;
        }
        if (entry.seal) {
            isSealed_ = true;
            isAtEnd_ = true;
            return;
        }
        replayEntry(std::move(entry));
    }
    nextToReplay_ = nextToReplay_.next();
}

void JournalReader::replayEntry(Entry &&entry)
{
    throughSequence_ = entry.sequence;
    for (Record &record : entry.records) {
        replay_.apply(std::move(record));
    }
}

void JournalReader::resume(StoreCalls &calls, Base::Instant now)
{
    // Results for segments after the absent one may be stale as well.
    isAtEnd_ = false;
    bufferedSegments_.clear();
    segmentCalls_.clear();
    nextToRead_ = nextToReplay_;
    readAhead(calls, now);
}

void JournalReader::fail(Base::Error error)
{
    error_ = std::move(error);
}

} // namespace Journal
