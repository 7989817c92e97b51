#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The journal: what a daemon must not forget, in segments at the platform's store.
namespace Journal {

/// A program was created.
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

/// A call is about to be dispatched. For non-idempotent calls it commits before the dispatch.
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

/// How a call ended. The turn becomes part of the program's history.
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

/// The child ended; what it spent is charged to the parent and the rest is returned.
struct ChildSettled
{
    Base::ProgramId parent;
    Base::ProgramId child;
    Base::Tokens spent;

    bool operator==(const ChildSettled &) const = default;
};

using ProgramRecord = std::
    variant<ProgramCreated, CallIntent, CallResult, ProgramEnded, ChildReserved, ChildSettled>;

/// Names one append, so that its commit can be matched; chosen by whoever appends.
using Ticket = Base::StrongNumber<struct TicketTag, std::uint64_t>;

/// One record and the partition it belongs to.
struct Record
{
    Base::PartitionId partition;
    ProgramRecord body;

    bool operator==(const Record &) const = default;
};

} // namespace Journal
