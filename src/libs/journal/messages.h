#pragma once

#include "segment.h"

/// Messages between a journal's owner, its witnesses and its successors.
namespace Journal {

/// Request of an owner to a witness to hold entries until they are stored.
struct WitnessAppend
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    /// Entries up to this one are stored; the witness drops them.
    EntrySequence storedThrough;
    /// Contiguous; empty if the message only lets the witness drop stored entries.
    std::vector<Entry> entries;

    bool operator==(const WitnessAppend &) const = default;
};

enum class WitnessVerdict {
    Accepted,
    /// An earlier entry is missing; the owner resends from the one after `heldThrough`.
    Gap,
    /// The buffer is full; entries after `heldThrough` were not accepted.
    Full,
    /// A successor sealed the owner's journal at this witness; entries are no longer accepted.
    Sealed,
    /// The message was addressed to another incarnation of this VM.
    WrongWitness
};

/// Response of a witness to an owner: all entries up to `heldThrough` are held here or stored.
struct WitnessAppendReply
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    WitnessVerdict verdict = WitnessVerdict::Accepted;
    EntrySequence heldThrough;

    bool operator==(const WitnessAppendReply &) const = default;
};

/// Request of a successor to a witness to stop accepting the owner's entries and to return those
/// that it holds.
struct WitnessSeal
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    Base::IncarnationId successor;
    /// First entry to return; a large buffer is read in several messages.
    EntrySequence from;

    bool operator==(const WitnessSeal &) const = default;
};

/// Response of a sealed witness to a successor with some of the entries that it holds.
struct WitnessSealReply
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    Base::IncarnationId successor;
    /// Entries up to this one are stored.
    EntrySequence storedThrough;
    /// Last entry held; not below `storedThrough`.
    EntrySequence heldThrough;
    std::vector<Entry> entries;

    bool operator==(const WitnessSealReply &) const = default;
};

using Message = std::variant<WitnessAppend, WitnessAppendReply, WitnessSeal, WitnessSealReply>;

} // namespace Journal
