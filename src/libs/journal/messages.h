#pragma once

#include "segment.h"

/// Messages between a journal's owner, its witnesses and its successors.
namespace Journal {

/// Owner to witness: keep these entries until they are in the store.
struct WitnessAppend
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    /// Entries up to this one are in the store; the witness drops them.
    EntrySequence storedThrough;
    /// Contiguous; empty if the message only drops.
    std::vector<Entry> entries;

    bool operator==(const WitnessAppend &) const = default;
};

enum class WitnessVerdict {
    Accepted,
    /// An earlier entry is missing: send again from the one after `heldThrough`.
    Gap,
    /// No room: entries after `heldThrough` were not taken.
    Full,
    /// A successor sealed the owner's journal here; nothing is taken any more.
    Sealed,
    /// The message named another incarnation of this VM.
    WrongWitness
};

/// Witness to owner: everything up to `heldThrough` is held here or in the store.
struct WitnessAppendReply
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    WitnessVerdict verdict = WitnessVerdict::Accepted;
    EntrySequence heldThrough;

    bool operator==(const WitnessAppendReply &) const = default;
};

/// Successor to witness: take nothing more from the owner and hand out what is held.
struct WitnessSeal
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    Base::IncarnationId successor;
    /// First entry wanted; a large buffer is read in several messages.
    EntrySequence from;

    bool operator==(const WitnessSeal &) const = default;
};

/// Witness to successor: sealed, and some of the entries held.
struct WitnessSealReply
{
    Base::IncarnationId owner;
    Base::IncarnationId witness;
    Base::IncarnationId successor;
    /// The entries up to this one are in the store.
    EntrySequence storedThrough;
    /// Last entry held; not below `storedThrough`.
    EntrySequence heldThrough;
    std::vector<Entry> entries;

    bool operator==(const WitnessSealReply &) const = default;
};

using Message = std::variant<WitnessAppend, WitnessAppendReply, WitnessSeal, WitnessSealReply>;

} // namespace Journal
