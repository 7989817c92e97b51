#pragma once

#include "messages.h"
#include "recordqueue.h"
#include "storecalls.h"
#include "witnesssets.h"
#include "writeratelimiter.h"

#include <base/error.h>

#include <deque>

namespace Journal {

/// Limits of one daemon's journal.
struct WriterSettings
{
    /// Rate limit of segment writes: sustained rate and burst.
    double writesPerSecond = 10;
    double writeBurst = 5;
    std::size_t maxCreatesInFlight = 3;
    /// Maximum time that a record waits to be grouped with others while a write is in flight.
    Base::Duration groupInterval = std::chrono::milliseconds(25);
    Base::Bytes maxSegmentBytes{maxObjectBytes};
    /// Limit of records held in memory until they are stored.
    Base::Bytes maxQueuedBytes{32 << 20};
    Base::Duration storeRetryInterval = std::chrono::milliseconds(200);
    /// A write that is unanswered for this time starts commits at the witnesses.
    Base::Duration outageTimeout = std::chrono::milliseconds(300);
    /// Timeout of a store request.
    Base::Duration storeTimeout = std::chrono::milliseconds(1000);
    Base::Duration witnessRetryInterval = std::chrono::milliseconds(100);
};

struct SendStoreRequest
{
    Platform::StoreRequest request;
};

/// All records of the append are committed.
struct RecordsCommitted
{
    Ticket ticket;
};

/// This segment and all earlier ones are stored; input of the Compactor.
struct SegmentStored
{
    Base::SegmentNumber number;
    /// Last entry in the segment.
    EntrySequence last;
    std::vector<Record> records;
    Base::Bytes size;
};

/// A successor sealed the journal, and these appends can no longer commit here. The successor may
/// have recovered some of them; their intents were not dispatched, so "not run" remains correct.
struct Fenced
{
    /// The successor; empty if unknown.
    Base::IncarnationId by;
    std::vector<Ticket> uncommitted;
};

/// All committed entries are stored or held by these witnesses, so the lease may name them.
struct WitnessesReady
{
    WitnessSet witnesses;
};

/// Entries commit at the witnesses until OutageEnded.
struct OutageStarted
{};

/// The store answers again, and the remaining entries fit into one segment.
struct OutageEnded
{};

using WriterAction = std::variant<SendStoreRequest,
                                  SendMessage,
                                  RecordsCommitted,
                                  SegmentStored,
                                  Fenced,
                                  WitnessesReady,
                                  OutageStarted,
                                  OutageEnded>;

/// Where a record can commit currently.
enum class CommitPath {
    Store,
    Witnesses,
    /// Neither the store nor all witnesses answer; requests that must not wait are to be refused.
    None,
    /// Sealed by a successor.
    Fenced
};

/// The journal of one daemon incarnation: groups records into segments and reports when they are
/// committed. An entry is committed when it and all earlier ones are stored, or when every witness
/// of every active set holds all entries that are not stored.
class JournalWriter
{
public:
    JournalWriter(Base::IncarnationId incarnation, WriterSettings settings = {});

    /// Queues records. Errors: Unavailable if the queue is full or the journal is sealed, TooLarge
    /// if a record does not fit into a segment; no record is queued in these cases. Records of one
    /// append become durable in order; appends that fit into one entry are not split.
    Base::Result<void> append(Ticket ticket, std::vector<Record> records, Base::Instant now);

    /// Cancels an append that is still queued as a whole; returns false otherwise.
    bool cancel(Ticket ticket) { return queue_.cancel(ticket); }

    /// Sets the witnesses to use, in addition to the earlier ones until the change is confirmed.
    /// The lease may name them only after WitnessesReady.
    void setWitnesses(const WitnessSet &witnesses, Base::Instant now);

    /// The store confirmed a lease that names these witnesses. The earlier ones are used until one
    /// more segment is stored, because a successor seals the journal before it reads the lease.
    void witnessesConfirmed(const WitnessSet &witnesses, Base::Instant now);

    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void handle(const WitnessAppendReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<WriterAction> takeActions();

    CommitPath path(Base::Instant now) const;
    bool isFenced() const { return isFenced_; }
    /// All segments up to this one are stored.
    Base::SegmentNumber storedThrough() const { return storedSegment_; }
    /// Size of the records that are not stored yet.
    Base::Bytes queuedBytes() const { return queue_.size() + unstoredBytes_; }

private:
    struct SegmentInFlight
    {
        Base::SegmentNumber number;
        EntrySequence last;
        StoreCallId call;
        Base::Instant sentAt;
        bool isWritten = false;
    };

    void advance(Base::Instant now);
    void detectOutage(Base::Instant now);
    bool tryWriteSegment(Base::Instant now);
    bool isEntryDue(Base::Instant now) const;
    void createEntry();
    void writeSegment(Base::Instant now);
    void createEntriesForWitnesses(Base::Instant now);
    void sendToWitnesses(Base::Instant now);
    void segmentWritten(StoreCallId call);
    void reportStoredSegments();
    void reportCommitted(EntrySequence through);
    void endOutageIfDrained();
    void fence(const Base::IncarnationId &by);
    std::size_t createsInFlightLimit() const;
    bool hasUnassignedEntries() const { return assignedThrough_ < lastSequence_; }
    std::optional<Base::Instant> nextSegmentAt() const;

    Base::IncarnationId incarnation_;
    WriterSettings settings_;
    StoreCalls calls_;
    WriteRateLimiter rateLimiter_;
    WitnessSets witnesses_;
    bool isFenced_ = false;
    bool isOutage_ = false;
    RecordQueue queue_;
    std::deque<UnstoredEntry> entries_;
    std::deque<SegmentInFlight> inFlight_;
    EntrySequence lastSequence_;
    EntrySequence assignedThrough_;
    EntrySequence storedThrough_;
    EntrySequence committedThrough_;
    Base::SegmentNumber lastSegment_;
    Base::SegmentNumber storedSegment_;
    Base::Bytes unstoredBytes_;
    std::vector<WriterAction> actions_;
};

} // namespace Journal
