#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <set>

namespace Journal {

struct SendMessage
{
    Base::IncarnationId to;
    Message message;
};

/// The daemons that hold uncommitted entries while the store is away.
using WitnessSet = std::set<Base::IncarnationId>;

/// An entry that the store does not have yet.
struct UnstoredEntry
{
    Entry entry;
    Base::Bytes size;
    /// Appends whose last record is in this entry.
    std::vector<Ticket> tickets;
};

/// Index of the first entry behind the sequence number; the entries are contiguous.
std::size_t indexAfter(const std::deque<UnstoredEntry> &entries, EntrySequence sequence);

/// The owner's side of its witnesses: the sets in force, and what each witness holds.
class WitnessSets
{
public:
    WitnessSets(Base::IncarnationId owner, Base::Duration retryInterval);

    /// Adds a set; it is ready once it holds what was committed before, or the store does.
    void add(const WitnessSet &witnesses, EntrySequence committedThrough);
    /// Sets that became ready since the last call: the lease may name them now.
    std::vector<WitnessSet> takeReady(EntrySequence storedThrough);
    /// The lease names this set; earlier sets end once the segment `barrier` is stored.
    void confirm(const WitnessSet &witnesses, Base::SegmentNumber barrier);
    /// Whether a confirmed change waits for a segment that is not assigned yet.
    bool needsSegment(Base::SegmentNumber lastAssigned) const;
    void segmentStored(Base::SegmentNumber number);

    /// What all witnesses of all sets hold; nothing while a set in force is empty.
    std::optional<EntrySequence> heldThrough() const;
    bool isAnswering(Base::Instant now) const;

    /// Sends entries that witnesses lack, and repeats what was not answered in time.
    void send(const std::deque<UnstoredEntry> &entries,
              EntrySequence storedThrough,
              Base::Instant now,
              std::vector<SendMessage> &messages);
    /// Lets witnesses drop what the store has, once it has all that they hold.
    void trim(EntrySequence storedThrough, Base::Instant now, std::vector<SendMessage> &messages);
    WitnessVerdict handle(const WitnessAppendReply &reply);
    std::optional<Base::Instant> nextWakeUp() const;

private:
    struct Progress
    {
        EntrySequence heldThrough;
        /// Highest stored entry that an answered message named.
        EntrySequence toldStored;
        EntrySequence sentStored;
        bool isWaiting = false;
        Base::Instant repeatAt;
        std::optional<Base::Instant> unansweredSince;
        int trims = 0;
    };

    struct SetInForce
    {
        WitnessSet witnesses;
        /// Entries up to this one were committed before the set was added.
        EntrySequence committedBefore;
        bool isReady = false;
    };
    using Sets = std::vector<SetInForce>;

    Sets::iterator latest(const WitnessSet &witnesses);
    EntrySequence heldBy(const WitnessSet &witnesses) const;
    /// Entries below the segment limit that follow what the witness holds.
    static std::vector<Entry> missing(const std::deque<UnstoredEntry> &entries,
                                      EntrySequence after);
    void post(const Base::IncarnationId &witness,
              Progress &progress,
              WitnessAppend message,
              Base::Instant now,
              std::vector<SendMessage> &messages);
    void dropUnused();

    Base::IncarnationId owner_;
    Base::Duration retryInterval_;
    /// Oldest first; the first one may be the empty set of a daemon without witnesses.
    Sets sets_{SetInForce{{}, {}, true}};
    std::optional<WitnessSet> confirmed_;
    Base::SegmentNumber barrier_;
    std::map<Base::IncarnationId, Progress> progress_;
};

} // namespace Journal
