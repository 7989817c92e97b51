#pragma once

#include <admission/ratepool.h>
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

/// Puts the sender's part of all rates into the receiver's pool.
struct RateStatement
{
    QuestionNumber number;
    std::vector<Admission::TeamDemand> demands;

    bool operator==(const RateStatement &) const = default;
};

struct RateAnswer
{
    QuestionNumber number;
    std::vector<Admission::TeamShare> shares;
    /// The sender hears more than half of the fleet.
    bool hearsMost = false;

    bool operator==(const RateAnswer &) const = default;
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
    Programs::WriteClaim claim;

    bool operator==(const ClaimRelay &) const = default;
};

struct ClaimRelayAnswer
{
    QuestionNumber number;
    Programs::ClaimOutcome outcome;

    bool operator==(const ClaimRelayAnswer &) const = default;
};

using PeerBody = std::variant<RateStatement,
                              RateAnswer,
                              TokenRequest,
                              TokenAnswer,
                              StillWorking,
                              ClaimRelay,
                              ClaimRelayAnswer>;

/// One datagram between daemons.
struct PeerMessage
{
    Base::VmId sender;
    /// Version of the routing document that the sender has; 0 for none.
    Base::ConfigVersion routingVersion;
    PeerBody body;

    bool operator==(const PeerMessage &) const = default;
};

std::string encodePeerMessage(const PeerMessage &message);
/// Nothing if the bytes are no message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Proxy
