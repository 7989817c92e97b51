#pragma once

#include <base/error.h>
#include <base/types.h>

/// Scheduling of calls: which call runs next, and on which backend server.
namespace Dispatch {

/// Identifies one call from enqueue to its end inside one dispatcher.
using DispatchId = Base::StrongNumber<struct DispatchIdTag, std::uint64_t>;

/// Identifies one loan of an engine slot, together with the lender's epoch.
using SlotId = Base::StrongNumber<struct SlotIdTag, std::uint64_t>;

enum class ServiceKind {
    Model,
    Plain
};

enum class ServerHealth {
    Healthy,
    /// Gets no calls after consecutive failures until a probe succeeds.
    Ejected,
    Probing,
    /// Finishes its running calls and gets no new ones.
    Leaving,
    Gone
};

/// A backend server, from the configuration and the platform's list of servers.
struct ServerConfig
{
    Base::ServerId server;
    Base::ZoneId zone;
    /// The model or plain service that the server provides.
    Base::ServiceId service;
    ServiceKind kind = ServiceKind::Model;
    /// Number of calls that the server runs concurrently.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// Fencing token of calls if slots are not borrowed; a borrowed slot has the epoch of its
    /// grant.
    Base::Epoch epoch;

    bool operator==(const ServerConfig &) const = default;
};

/// A call to schedule and to place on a server.
struct DispatchRequest
{
    DispatchId id;
    Base::ProgramId program;
    Base::CallNumber number;
    Base::TeamId team;
    /// Weight of the team relative to other teams; positive.
    double weight = 1;
    Base::ServiceId service;
    ServiceKind kind = ServiceKind::Model;
    bool isIdempotent = false;
    /// History that the engine of the previous turn may still have cached.
    Base::Tokens prefixTokens;
    /// The whole prompt, including the prefix.
    Base::Tokens promptTokens;
    Base::Tokens expectedOutput;
    /// Tokens that the program, with its sub-agents, has consumed so far.
    Base::Tokens attained;
    Base::Instant deadline;
};

/// Tokens consumed by a finished call.
struct Usage
{
    Base::Tokens promptTokens;
    /// Prompt tokens that the engine read from its cache.
    Base::Tokens cachedTokens;
    Base::Tokens outputTokens;
};

/// Reason for the choice of a server.
enum class ChoiceReason {
    /// The server holds the program's prefix.
    CacheAffinity,
    /// A server with the prefix exists, but waiting for it costs more than recomputing.
    AffinityTooBusy,
    /// The less loaded of two servers with a free slot.
    LessLoaded,
    /// The first server with a free slot.
    FirstFree,
    /// A server other than the one where the call failed.
    Retry
};

std::string_view toString(ChoiceReason reason);
std::string_view toString(ServerHealth health);

} // namespace Dispatch
