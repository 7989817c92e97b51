#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The journal: durable records of a daemon, kept as segments in the platform's store.
namespace Journal {

struct ProgramCreated
{
    Base::ProgramId program;
    Base::TeamId team;
    Base::Tokens budget;
    std::uint32_t maxCalls = 0;
    Base::Instant createdAt;
    std::optional<Base::Instant> deadline;
    std::optional<Base::ProgramId> parent;
    /// Key that created the program; its withdrawal ends the program.
    Base::KeyId key;

    bool operator==(const ProgramCreated &) const = default;
};

/// A call that is about to be dispatched. For non-idempotent calls it commits before the dispatch.
struct CallIntent
{
    Base::ProgramId program;
    Base::CallNumber number;
    Base::BodyHash bodyHash;
    Base::ServiceId service;
    std::string input;
    Base::Tokens reserved;
    bool isIdempotent = false;
    Base::Instant at;

    bool operator==(const CallIntent &) const = default;
};

/// Result of a call that ended. It becomes a turn of the program's history.
struct CallResult
{
    Base::ProgramId program;
    Base::CallNumber number;
    Base::BodyHash bodyHash;
    Base::ServiceId service;
    Base::ServerId server;
    std::string input;
    std::string output;
    /// Set if the call ended in an error instead of an output.
    std::optional<Base::Error> error;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;
    /// Tokens charged to the program's budget.
    Base::Tokens charged;
    Base::Instant at;

    bool operator==(const CallResult &) const = default;
};

enum class EndReason {
    ByCaller,
    Expired,
    DeadlinePassed,
    KeyWithdrawn
};

struct ProgramEnded
{
    Base::ProgramId program;
    EndReason reason = EndReason::ByCaller;
    Base::Instant at;

    bool operator==(const ProgramEnded &) const = default;
};

/// A child program's reservation on its parent's budget, kept with the parent.
struct ChildReserved
{
    Base::ProgramId parent;
    Base::ProgramId child;
    Base::Tokens reserved;

    bool operator==(const ChildReserved &) const = default;
};

/// A child ended: the tokens it spent are charged to the parent, and the rest of its reservation is
/// released.
struct ChildSettled
{
    Base::ProgramId parent;
    Base::ProgramId child;
    Base::Tokens spent;

    bool operator==(const ChildSettled &) const = default;
};

/// The retention of an ended program is over; its state and history are removed.
struct ProgramForgotten
{
    Base::ProgramId program;

    bool operator==(const ProgramForgotten &) const = default;
};

/// Part of a program's history, in an object (ObjectKind::ProgramSnapshot) that it shares with
/// other programs of its partition.
struct SnapshotChunk
{
    /// Name of the object.
    std::string name;
    Base::CallNumber first;
    Base::CallNumber last;
    /// Size of this program's turns in the object.
    Base::Bytes size;

    bool operator==(const SnapshotChunk &) const = default;
};

/// A program's state without the bulk of its history.
struct ProgramState
{
    ProgramCreated created;
    /// Number of the last call that ended; 0 if none did.
    Base::CallNumber lastEnded;
    /// Tokens charged by ended calls and by settled children.
    Base::Tokens spent;
    /// A call with an intent and without a result.
    std::optional<CallIntent> openCall;
    /// Children whose reservation is not settled yet.
    std::vector<ChildReserved> openChildren;
    std::optional<ProgramEnded> ended;
    /// Ended calls that were moved to snapshot objects, oldest first.
    std::vector<SnapshotChunk> chunks;

    bool operator==(const ProgramState &) const = default;
};

/// A replayed program: its state, and the ended calls that are not in chunks yet.
struct ProgramSnapshot
{
    ProgramState state;
    std::vector<CallResult> tail;

    bool operator==(const ProgramSnapshot &) const = default;
};

/// Program state recovered by a takeover, which includes the turns that follow as TurnRecovered.
/// Valid only if PartitionAdopted follows in the same journal.
struct ProgramRecovered
{
    ProgramState state;

    bool operator==(const ProgramRecovered &) const = default;
};

/// Ended call recovered by a takeover that is not in a chunk.
struct TurnRecovered
{
    CallResult turn;

    bool operator==(const TurnRecovered &) const = default;
};

/// Start of the recovered state of a partition, which replaces the partition's earlier records in
/// this journal.
struct AdoptionBegun
{
    Base::Epoch epoch;

    bool operator==(const AdoptionBegun &) const = default;
};

/// The writer of this journal owns the partition, whose recovered state precedes this record.
/// Written once when a partition is taken over or first used; callers are answered afterwards.
struct PartitionAdopted
{
    Base::Epoch epoch;
    /// Earlier owner; empty if the partition had none.
    std::optional<Base::IncarnationId> predecessor;
    /// Set if the earlier owner and its witnesses were all gone: calls may be missing.
    bool isDegraded = false;

    bool operator==(const PartitionAdopted &) const = default;
};

/// Planned handover: the writer of this journal no longer serves the partition.
struct PartitionReleased
{
    Base::Epoch epoch;
    Base::IncarnationId successor;

    bool operator==(const PartitionReleased &) const = default;
};

using ProgramRecord = std::variant<ProgramCreated,
                                   CallIntent,
                                   CallResult,
                                   ProgramEnded,
                                   ChildReserved,
                                   ChildSettled,
                                   ProgramForgotten,
                                   ProgramRecovered,
                                   TurnRecovered,
                                   PartitionAdopted,
                                   PartitionReleased,
                                   AdoptionBegun>;

/// Identifies an append in the report of its commit; chosen by the caller of append().
using Ticket = Base::StrongNumber<struct TicketTag, std::uint64_t>;

/// One record and the partition it belongs to.
struct Record
{
    Base::PartitionId partition;
    ProgramRecord body;

    bool operator==(const Record &) const = default;
};

} // namespace Journal
