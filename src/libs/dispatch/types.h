#pragma once

#include <base/error.h>
#include <base/types.h>

/// Order before engines and plain services: who runs next, and on which backend server.
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
    /// Took no calls after consecutive failures; waits to be probed.
    Ejected,
    Probing,
    /// Finishes what it runs and gets nothing new.
    Leaving,
    Gone
};

/// A backend server as the configuration and the platform's list describe it.
struct ServerConfig
{
    Base::ServerId server;
    Base::ZoneId zone;
    /// The model or plain service that it offers.
    Base::ServiceId service;
    ServiceKind kind = ServiceKind::Model;
    /// Calls that it runs at a time.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// Epoch of orders when slots are not borrowed; otherwise the grants carry it.
    Base::Epoch epoch;

    bool operator==(const ServerConfig &) const = default;
};

/// One call to order and place.
struct DispatchRequest
{
    DispatchId id;
    Base::ProgramId program;
    Base::CallNumber number;
    Base::TeamId team;
    /// The team's share relative to others; positive.
    double weight = 1;
    Base::ServiceId service;
    ServiceKind kind = ServiceKind::Model;
    bool isIdempotent = false;
    /// History that an engine which ran the previous turn may still hold in its cache.
    Base::Tokens prefixTokens;
    /// Whole prompt, prefix included.
    Base::Tokens promptTokens;
    Base::Tokens expectedOutput;
    /// Tokens that the program, with its sub-agents, has consumed so far.
    Base::Tokens attained;
    Base::Instant deadline;
};

/// What a finished call consumed.
struct Usage
{
    Base::Tokens promptTokens;
    /// Part of the prompt that came from the engine's cache.
    Base::Tokens cachedTokens;
    Base::Tokens outputTokens;
};

/// Why a server was chosen.
enum class ChoiceReason {
    /// The server holds the program's prefix.
    CacheAffinity,
    /// A server with the prefix exists, but waiting for it costs more than recomputing.
    AffinityTooBusy,
    /// The less loaded of two servers with a free slot.
    LessLoaded,
    /// The server that had a free slot first.
    FirstFree,
    /// Another server than the one where the call failed.
    Retry
};

std::string_view toString(ChoiceReason reason);
std::string_view toString(ServerHealth health);

} // namespace Dispatch
