#pragma once

#include "sharedlist.h"

#include <admission/permitpool.h>
#include <base/types.h>
#include <programs/tokenledger.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Proxy {

/// Position of a question among those of one daemon.
using QuestionNumber = Base::StrongNumber<struct QuestionNumberTag, std::uint64_t>;

/// A part of all teams whose permits one daemon gives.
using TeamGroup = Base::StrongNumber<struct TeamGroupTag, std::int32_t>;

/// Puts the sender's part of the groups' rates into the receiver's pools.
struct PoolStatement
{
    QuestionNumber number;
    std::vector<TeamGroup> groups;

    bool operator==(const PoolStatement &) const = default;
};

struct PoolAnswer
{
    QuestionNumber number;
    /// The sender hears more than half of the fleet.
    bool hearsMost = false;

    bool operator==(const PoolAnswer &) const = default;
};

/// Asks for the permit of one request; a statement for the team's group as well.
struct PermitRequest
{
    QuestionNumber number;
    Base::TeamId team;
    Admission::Urgency urgency = Admission::Urgency::Started;

    bool operator==(const PermitRequest &) const = default;
};

struct PermitAnswer
{
    QuestionNumber number;
    Admission::PermitVerdict verdict;

    bool operator==(const PermitAnswer &) const = default;
};

/// A permit that was not used; not answered.
struct PermitReturn
{
    Base::TeamId team;

    bool operator==(const PermitReturn &) const = default;
};

/// Asks the home of a program for a part of its token budget.
struct TokenRequest
{
    QuestionNumber number;
    Base::ProgramId program;
    Base::Tokens budget;
    Base::Tokens needed;
    Base::Duration retention{};
    /// Tokens that the asker has handed to callers so far.
    Base::Tokens used;

    bool operator==(const TokenRequest &) const = default;
};

struct TokenAnswer
{
    QuestionNumber number;
    Programs::TurnVerdict verdict = Programs::TurnVerdict::Unavailable;
    /// Tokens granted; with Unavailable, what the home has let turns use without a claim.
    Base::Tokens amount;

    bool operator==(const TokenAnswer &) const = default;
};

/// The question has arrived and its answer takes longer, such as for a write to the store.
struct StillWorking
{
    QuestionNumber number;

    bool operator==(const StillWorking &) const = default;
};

/// Writes a claim for a daemon that can't reach the store.
struct ClaimRelay
{
    QuestionNumber number;
    Programs::WriteAllocation allocation;

    bool operator==(const ClaimRelay &) const = default;
};

struct ClaimRelayAnswer
{
    QuestionNumber number;
    Programs::AllocationOutcome outcome;

    bool operator==(const ClaimRelayAnswer &) const = default;
};

/// Says nothing but what every message does; not answered.
struct Notice
{
    bool operator==(const Notice &) const = default;
};

using PeerBody = std::variant<PoolStatement,
                              PoolAnswer,
                              PermitRequest,
                              PermitAnswer,
                              PermitReturn,
                              TokenRequest,
                              TokenAnswer,
                              StillWorking,
                              ClaimRelay,
                              ClaimRelayAnswer,
                              Notice>;

/// One datagram between daemons.
struct PeerMessage
{
    Base::VmId sender;
    /// Version of the routing document that the sender has; 0 for none.
    Base::ConfigVersion routingVersion;
    PeerBody body;
    /// What the sender knows of the list of servers; nothing if it has none.
    std::optional<ListStatement> servers;

    bool operator==(const PeerMessage &) const = default;
};

std::string encodePeerMessage(const PeerMessage &message);
/// Nothing if the bytes are no message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Proxy
