#pragma once

#include "messages.h"

#include <deque>
#include <map>

namespace Journal {

/// What a witness holds for other daemons while the store does not answer. It is a buffer, not a
/// store: only a successor reads it, and it ends with the incarnation of the witness.
class WitnessBuffer
{
public:
    /// Keeps at most `capacity` bytes over all owners.
    WitnessBuffer(Base::IncarnationId self, Base::Bytes capacity);

    /// Takes entries in sequence, drops those that the store has.
    WitnessAppendReply append(const WitnessAppend &message);

    /// Seals the owner's journal here, for ever, and hands out entries (about a megabyte at once).
    /// Nothing if the message names another incarnation of this VM: then it must not be answered.
    std::optional<WitnessSealReply> seal(const WitnessSeal &message);

    /// Drops an owner that the platform lists as gone and whose partitions all have new owners.
    void forget(const Base::IncarnationId &owner);

    Base::Bytes heldBytes() const { return heldBytes_; }
    bool isSealed(const Base::IncarnationId &owner) const;

private:
    struct Held
    {
        bool isSealed = false;
        EntrySequence storedThrough;
        EntrySequence heldThrough;
        std::deque<Entry> entries;
        std::deque<Base::Bytes> sizes;
    };

    void dropStored(Held &held, EntrySequence storedThrough);
    WitnessVerdict take(Held &held, const std::vector<Entry> &entries);

    Base::IncarnationId self_;
    Base::Bytes capacity_;
    Base::Bytes heldBytes_;
    std::map<Base::IncarnationId, Held> owners_;
};

} // namespace Journal
