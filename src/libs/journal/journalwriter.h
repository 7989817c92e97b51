#pragma once

#include "messages.h"
#include "recordqueue.h"
#include "storecalls.h"
#include "witnesssets.h"
#include "writeallowance.h"

#include <base/error.h>

#include <deque>

namespace Journal {

/// Limits of one daemon's journal.
struct WriterSettings
{
    /// Journal writes at the store, sustained and at once.
    double writesPerSecond = 10;
    double writeBurst = 5;
    std::size_t maxCreatesInFlight = 3;
    /// Longest wait of a record for others while a write is under way.
    Base::Duration groupInterval = std::chrono::milliseconds(25);
    Base::Bytes maxSegmentBytes{maxObjectBytes};
    /// Records held in memory until the store has them.
    Base::Bytes maxQueuedBytes{32 << 20};
    Base::Duration storeRetryInterval = std::chrono::milliseconds(200);
    /// A write without an answer for this time starts the commits at the witnesses.
    Base::Duration outageAfter = std::chrono::milliseconds(300);
    /// A store request without an answer counts as unanswered after this time.
    Base::Duration storeTimeout = std::chrono::milliseconds(1000);
    Base::Duration witnessRetryInterval = std::chrono::milliseconds(100);
};

struct SendStore
{
    Platform::StoreRequest request;
};

/// All records of the append are committed.
struct RecordsCommitted
{
    Ticket ticket;
};

/// The store has this segment and all earlier ones; input of the Compactor.
struct SegmentStored
{
    Base::SegmentNumber number;
    /// Last entry in the segment.
    EntrySequence last;
    std::vector<Record> records;
    Base::Bytes size;
};

/// A successor sealed the journal: none of these appends is committed here any more. The successor
/// may have found some of them; their intents were not dispatched, so "not run" stays true.
struct Fenced
{
    /// Empty if not known.
    Base::IncarnationId by;
    std::vector<Ticket> uncommitted;
};

/// These witnesses have what they need: the lease may be written to name them.
struct WitnessesReady
{
    WitnessSet witnesses;
};

/// Entries commit at the witnesses from now on.
struct OutageStarted
{};

/// The store has everything again.
struct OutageEnded
{};

using WriterAction = std::variant<SendStore,
                                  SendMessage,
                                  RecordsCommitted,
                                  SegmentStored,
                                  Fenced,
                                  WitnessesReady,
                                  OutageStarted,
                                  OutageEnded>;

/// What can commit a record now.
enum class CommitPath {
    Store,
    Witnesses,
    /// Neither the store nor all witnesses answer; refuse what must not wait.
    None,
    /// Sealed by a successor.
    Fenced
};

/// The journal of one daemon incarnation: groups records into segments and tells when they are
/// committed. An entry is committed when it and all earlier ones are in the store, or when every
/// witness of every set in force holds all entries that the store does not have.
class JournalWriter
{
public:
    JournalWriter(Base::IncarnationId incarnation, WriterSettings settings = {});

    /// Queues records. Errors: Unavailable if the queue is full or the journal is sealed, TooLarge
    /// if a record does not fit into a segment; nothing is queued then. Records of one append
    /// become durable in their order; small appends are not split.
    Base::Result<void> append(Ticket ticket, std::vector<Record> records, Base::Instant now);

    /// Takes back an append that was not sent anywhere yet; false if it was.
    bool withdraw(Ticket ticket) { return open_.withdraw(ticket); }

    /// Names the witnesses to use, together with the earlier ones until the change is confirmed.
    /// The lease that names them may be written only after WitnessesReady.
    void setWitnesses(const WitnessSet &witnesses, Base::Instant now);

    /// The store confirmed a lease that names these witnesses. The earlier ones are used until one
    /// more segment is written: a successor seals the store before it reads the lease.
    void witnessesConfirmed(const WitnessSet &witnesses, Base::Instant now);

    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void handle(const WitnessAppendReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<WriterAction> takeActions();

    CommitPath path(Base::Instant now) const;
    bool isFenced() const { return isFenced_; }
    /// All segments up to this one are in the store.
    Base::SegmentNumber storedThrough() const { return storedSegment_; }
    /// Records that the store does not have yet.
    Base::Bytes queuedBytes() const { return open_.size() + unstoredBytes_; }

private:
    struct SegmentInFlight
    {
        Base::SegmentNumber number;
        EntrySequence last;
        StoreCallId call;
        Base::Instant sentAt;
        bool isWritten = false;
    };

    void pump(Base::Instant now);
    void detectOutage(Base::Instant now);
    bool startSegment(Base::Instant now);
    bool isEntryDue(Base::Instant now) const;
    void formEntry();
    void assignSegment(Base::Instant now);
    void formForWitnesses(Base::Instant now);
    void sendToWitnesses(Base::Instant now);
    void segmentWritten(StoreCallId call);
    void advanceStored();
    void tellCommitted(EntrySequence through);
    void endOutageIfDrained();
    void fence(const Base::IncarnationId &by);
    std::size_t createLimit() const;
    bool hasUnassigned() const { return assignedThrough_ < lastSequence_; }
    std::optional<Base::Instant> nextSegmentAt() const;

    Base::IncarnationId incarnation_;
    WriterSettings settings_;
    StoreCalls calls_;
    WriteAllowance allowance_;
    WitnessSets witnesses_;
    bool isFenced_ = false;
    bool isOutage_ = false;
    RecordQueue open_;
    std::deque<UnstoredEntry> entries_;
    std::deque<SegmentInFlight> inFlight_;
    EntrySequence lastSequence_;
    EntrySequence assignedThrough_;
    EntrySequence storedThrough_;
    EntrySequence toldThrough_;
    Base::SegmentNumber lastSegment_;
    Base::SegmentNumber storedSegment_;
    Base::Bytes unstoredBytes_;
    std::vector<WriterAction> actions_;
};

} // namespace Journal
