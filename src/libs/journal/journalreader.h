#pragma once

#include "replay.h"
#include "storecalls.h"

#include <base/error.h>

#include <set>

namespace Journal {

/// Reads an incarnation's checkpoint and replays its segments in order, with read-ahead.
class JournalReader
{
public:
    JournalReader(Base::IncarnationId owner, std::size_t maxReadsInFlight);

    /// Starts, or restarts, with the checkpoint.
    void start(StoreCalls &calls, Base::Instant now);
    /// Handles the result of a read. Returns false if the reader did not start the call.
    bool handle(const FinishedCall &finished, StoreCalls &calls, Base::Instant now);
    /// Reads an absent segment again, which may have been written meanwhile.
    void resume(StoreCalls &calls, Base::Instant now);

    /// Whether the next segment is absent or a seal.
    bool isAtEnd() const { return isAtEnd_; }
    bool isSealed() const { return isSealed_; }
    /// First segment after the checkpoint.
    Base::SegmentNumber firstLive() const { return firstLive_; }
    const std::vector<std::string> &checkpointParts() const { return checkpointParts_; }
    /// First segment that was not replayed: absent, or the seal.
    Base::SegmentNumber end() const { return nextToReplay_; }
    /// Last entry that was replayed.
    EntrySequence throughSequence() const { return throughSequence_; }
    /// Version of the checkpoint that the replay started from; 0 if there was none.
    Platform::ObjectVersion checkpointVersion() const { return checkpointVersion_; }
    const std::optional<Base::Error> &error() const { return error_; }
    Replay &replay() { return replay_; }

private:
    void handleCheckpoint(const ReadAnswered &answer, StoreCalls &calls, Base::Instant now);
    void handlePart(const ReadAnswered &answer, StoreCalls &calls, Base::Instant now);
    void replayInOrder();
    void replaySegment(const std::string &body);
    void replayEntry(Entry &&entry);
    void fail(Base::Error error);
    void readAhead(StoreCalls &calls, Base::Instant now);

    Base::IncarnationId owner_;
    std::size_t maxReadsInFlight_;
    std::optional<StoreCallId> checkpointCall_;
    std::set<StoreCallId> partCalls_;
    std::map<StoreCallId, Base::SegmentNumber> segmentCalls_;
    /// Bodies of segments read before an earlier one; empty if the segment is absent.
    std::map<Base::SegmentNumber, std::optional<std::string>> bufferedSegments_;
    Base::SegmentNumber firstLive_{1};
    std::vector<std::string> checkpointParts_;
    Base::SegmentNumber nextToReplay_{1};
    Base::SegmentNumber nextToRead_{1};
    Platform::ObjectVersion checkpointVersion_;
    EntrySequence throughSequence_;
    bool isAtEnd_ = false;
    bool isSealed_ = false;
    std::optional<Base::Error> error_;
    Replay replay_;
};

} // namespace Journal
