#pragma once

#include "messages.h"

#include <base/error.h>
#include <platform/conditionalwriter.h>

#include <deque>
#include <map>
#include <set>

namespace Journal {

/// Limits of one daemon's journal.
struct WriterSettings
{
    /// Journal writes at the store, sustained and at once.
    double writesPerSecond = 10;
    double writeBurst = 5;
    std::size_t maxCreatesUnderWay = 3;
    /// Longest wait of a record for others while a write is under way.
    Base::Duration groupInterval = std::chrono::milliseconds(25);
    Base::Bytes maxSegmentBytes{maxObjectBytes};
    /// Records held in memory until the store has them.
    Base::Bytes maxQueuedBytes{32 << 20};
    Base::Duration storeRetryInterval = std::chrono::milliseconds(200);
    /// A store request without an answer counts as unanswered after this time.
    Base::Duration storeTimeout = std::chrono::milliseconds(1000);
    Base::Duration witnessRetryInterval = std::chrono::milliseconds(100);
};

/// The daemons that hold uncommitted entries while the store is away.
using WitnessSet = std::set<Base::IncarnationId>;

struct SendStore
{
    Platform::StoreRequest request;
};

struct SendMessage
{
    Base::IncarnationId to;
    Message message;
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
    std::vector<Record> records;
    Base::Bytes size;
};

/// A successor sealed the journal: what is uncommitted stays so for ever.
struct Fenced
{
    /// Empty if not known.
    Base::IncarnationId by;
    std::vector<Ticket> uncommitted;
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
    bool withdraw(Ticket ticket);

    /// Names the witnesses to use; call before the lease that names them is written. They are
    /// used together with the earlier ones until the change is confirmed.
    void setWitnesses(WitnessSet witnesses, Base::Instant now);

    /// The store confirmed a lease that names these witnesses. The earlier ones are used until one
    /// more segment is written: a successor seals the store before it reads the lease.
    void witnessesConfirmed(const WitnessSet &witnesses, Base::Instant now);

    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void handle(const WitnessAppendReply &reply, Base::Instant now);
    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<WriterAction> takeActions();

    CommitPath path() const;
    bool isFenced() const { return isFenced_; }
    /// All segments up to this one are in the store.
    Base::SegmentNumber storedThrough() const { return storedThrough_; }
    /// Segment that holds the last record of a committed or pending append; empty once it is in
    /// the store and forgotten. A release's position for a planned handover.
    Base::SegmentNumber lastAssigned() const { return nextNumber_; }
    Base::Bytes queuedBytes() const { return queuedBytes_; }

private:
    struct Pending
    {
        Ticket ticket;
        std::vector<Record> records;
        Base::Bytes size;
        Base::Instant at;
        bool isLast = true;
    };

    Base::IncarnationId incarnation_;
    WriterSettings settings_;
    bool isFenced_ = false;
    Base::SegmentNumber storedThrough_;
    Base::SegmentNumber nextNumber_;
    Base::Bytes queuedBytes_;
    std::vector<WriterAction> actions_;
};

} // namespace Journal
