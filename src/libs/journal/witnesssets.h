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

/// Daemons that hold entries during a store outage until they are stored.
using WitnessSet = std::set<Base::IncarnationId>;

/// An entry that is not stored yet.
struct UnstoredEntry
{
    Entry entry;
    Base::Bytes size;
    /// Appends whose last record is in this entry.
    std::vector<Ticket> tickets;
};

/// Index of the first entry after the sequence number; the entries are contiguous.
std::size_t indexAfter(const std::deque<UnstoredEntry> &entries, EntrySequence sequence);

/// The owner's view of its witnesses: the active sets, and the entries that each witness holds.
class WitnessSets
{
public:
    WitnessSets(Base::IncarnationId owner, Base::Duration retryInterval);

    /// Adds a set. It is ready once all entries committed before are held by the set or stored.
    void add(const WitnessSet &witnesses, EntrySequence committedThrough);
    /// Returns the sets that became ready since the last call; the lease may name them.
    std::vector<WitnessSet> takeReady(EntrySequence storedThrough);
    /// The lease names this set; earlier sets are dropped once `switchoverSegment` is stored.
    void confirm(const WitnessSet &witnesses, Base::SegmentNumber switchoverSegment);
    /// Whether the switchover segment of a confirmed change is not assigned yet.
    bool needsSegment(Base::SegmentNumber lastAssigned) const;
    void segmentStored(Base::SegmentNumber number);

    /// Last entry that all witnesses of all sets hold; empty if an active set has no witnesses.
    std::optional<EntrySequence> heldThrough() const;
    bool isResponsive(Base::Instant now) const;

    /// Sends missing entries to witnesses and resends those not acknowledged in time.
    void send(const std::deque<UnstoredEntry> &entries,
              EntrySequence storedThrough,
              Base::Instant now,
              std::vector<SendMessage> &messages);
    /// Lets witnesses drop their entries once all of them are stored.
    void trim(EntrySequence storedThrough, Base::Instant now, std::vector<SendMessage> &messages);
    WitnessVerdict handle(const WitnessAppendReply &reply);
    std::optional<Base::Instant> nextWakeUp() const;

private:
    struct Progress
    {
        EntrySequence heldThrough;
        /// `storedThrough` of the last message that the witness acknowledged.
        EntrySequence acknowledgedStored;
        EntrySequence sentStored;
        bool isAwaitingReply = false;
        Base::Instant retryAt;
        std::optional<Base::Instant> unansweredSince;
        int unansweredTrims = 0;
    };

    struct ActiveSet
    {
        WitnessSet witnesses;
        /// Entries up to this one were committed before the set was added.
        EntrySequence committedBefore;
        bool isReady = false;
    };
    using Sets = std::vector<ActiveSet>;

    Sets::iterator findLatest(const WitnessSet &witnesses);
    EntrySequence heldBy(const WitnessSet &witnesses) const;
    /// Entries after the sequence number, up to the size limit of a message.
    static std::vector<Entry> missingEntries(const std::deque<UnstoredEntry> &entries,
                                             EntrySequence after);
    void sendAppend(const Base::IncarnationId &witness,
                    Progress &progress,
                    WitnessAppend message,
                    Base::Instant now,
                    std::vector<SendMessage> &messages);
    void dropUnusedWitnesses();

    Base::IncarnationId owner_;
    Base::Duration retryInterval_;
    /// Oldest first; the first one may be the empty set of a daemon without witnesses.
    Sets sets_{ActiveSet{{}, {}, true}};
    std::optional<WitnessSet> confirmed_;
    Base::SegmentNumber switchoverSegment_;
    std::map<Base::IncarnationId, Progress> progress_;
};

} // namespace Journal
