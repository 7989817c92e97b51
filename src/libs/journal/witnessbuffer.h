#pragma once

#include "messages.h"

#include <deque>
#include <map>

namespace Journal {

/// Entries that a witness holds for other daemons during a store outage. It is a buffer, not a
/// store: only a successor reads it, and it is lost with the incarnation of the witness.
class WitnessBuffer
{
public:
    /// Holds at most `capacity` bytes for all owners together.
    WitnessBuffer(Base::IncarnationId self, Base::Bytes capacity);

    /// Accepts entries in sequence and drops those that are stored.
    WitnessAppendReply append(const WitnessAppend &message);

    /// Seals the owner's journal at this witness permanently and returns entries, about 1 MB per
    /// reply. Returns nothing if the message is addressed to another incarnation of this VM; it
    /// must not be answered then.
    std::optional<WitnessSealReply> seal(const WitnessSeal &message);

    /// Removes an owner that the platform lists as gone and whose partitions all have new owners.
    void removeOwner(const Base::IncarnationId &owner);

    Base::Bytes heldBytes() const { return heldBytes_; }
    bool isSealed(const Base::IncarnationId &owner) const;

private:
    struct OwnerBuffer
    {
        bool isSealed = false;
        EntrySequence storedThrough;
        EntrySequence heldThrough;
        std::deque<Entry> entries;
        std::deque<Base::Bytes> sizes;
    };

    void dropStored(OwnerBuffer &buffer, EntrySequence storedThrough);
    WitnessVerdict acceptEntries(OwnerBuffer &buffer, const std::vector<Entry> &entries);

    Base::IncarnationId self_;
    Base::Bytes capacity_;
    Base::Bytes heldBytes_;
    std::map<Base::IncarnationId, OwnerBuffer> owners_;
};

} // namespace Journal
