#pragma once

#include "sharedlist.h"

#include <admission/permitpool.h>
#include <base/types.h>
#include <dispatch/requestplacer.h>
#include <dispatch/requestquarantine.h>
#include <dispatch/streamversions.h>
#include <programs/tokenledger.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Proxy {

/// Identifies a request among those of one daemon.
using RequestNumber = Base::StrongNumber<struct RequestNumberTag, std::uint64_t>;

/// A group of teams and backend servers whose permits are granted by one daemon.
using TeamGroup = Base::StrongNumber<struct TeamGroupTag, std::int32_t>;

/// Adds the sender's share of the groups' rates to the receiver's pools.
struct PoolJoinRequest
{
    RequestNumber number;
    std::vector<TeamGroup> groups;
    /// Equal for daemons with the same list of quarantined requests.
    std::uint64_t quarantineDigest = 0;

    bool operator==(const PoolJoinRequest &) const = default;
};

/// Limit that a backend server stated in a response, as known to the sender. Has no response.
struct LimitReport
{
    Dispatch::ServerInstance instance;
    /// Unset if the server states no limit.
    std::optional<Base::RequestRate> limit;
    /// Time since the statement was valid.
    Base::Duration age{};

    bool operator==(const LimitReport &) const = default;
};

/// Whether a request is kept from all servers, as known to the sender.
struct QuarantineReport
{
    Dispatch::RequestFingerprint request;
    bool isQuarantined = false;
    /// Time since the first crash that led to the decision.
    Base::Duration firstCrashAge{};
    /// Time since the decision.
    Base::Duration age{};
    Base::Duration duration{};

    bool operator==(const QuarantineReport &) const = default;
};

/// Has no response.
struct QuarantineNotice
{
    std::vector<QuarantineReport> reports;

    bool operator==(const QuarantineNotice &) const = default;
};

struct PoolJoinResponse
{
    RequestNumber number;
    /// The sender receives the join requests of more than half of the fleet.
    bool hasMajority = false;
    /// Recent changes of the limits of servers in the groups of the request.
    std::vector<LimitReport> limits;
    std::uint64_t quarantineDigest = 0;
    /// Empty if the digests of the request and the response are equal.
    std::vector<QuarantineReport> quarantine;

    bool operator==(const PoolJoinResponse &) const = default;
};

/// Requests the permit of one request, and joins the pool of the team's group.
struct PermitRequest
{
    RequestNumber number;
    Base::TeamId team;
    Admission::Urgency urgency = Admission::Urgency::Started;

    bool operator==(const PermitRequest &) const = default;
};

struct PermitResponse
{
    RequestNumber number;
    Admission::PermitVerdict verdict;
    /// The cold rate of the request is in force at the sender.
    bool isColdApplied = false;

    bool operator==(const PermitResponse &) const = default;
};

/// Returns a permit that was not used. Has no response.
struct PermitReturn
{
    Base::TeamId team;

    bool operator==(const PermitReturn &) const = default;
};

/// What a cold server takes, as known to the sender.
struct ColdReport
{
    Base::RequestRate rate;
    /// Time for which the server stays cold.
    Base::Duration left{};

    bool operator==(const ColdReport &) const = default;
};

/// Requests the permit of one request to a backend server; PermitResponse is the response.
struct ServerPermitRequest
{
    RequestNumber number;
    LimitReport report;
    Admission::ServerPermitTerms terms;
    std::optional<ColdReport> cold;

    bool operator==(const ServerPermitRequest &) const = default;
};

/// Returns a permit for a server that was not used. Has no response.
struct ServerPermitReturn
{
    Base::ServerId server;

    bool operator==(const ServerPermitReturn &) const = default;
};

/// A stream has begun. Has no response.
struct StreamNotice
{
    Dispatch::StreamName stream;
    /// Without an age, as the notice is sent at once.
    Dispatch::StreamRecord record;

    bool operator==(const StreamNotice &) const = default;
};

struct StreamVersionRequest
{
    RequestNumber number;
    Dispatch::StreamName stream;

    bool operator==(const StreamVersionRequest &) const = default;
};

struct StreamVersionResponse
{
    RequestNumber number;
    Dispatch::StreamFinding finding;

    bool operator==(const StreamVersionResponse &) const = default;
};

/// Requests a token grant from the coordinator of a program.
struct TokenRequest
{
    RequestNumber number;
    Base::ProgramId program;
    Base::Tokens budget;
    Base::Tokens needed;
    Base::Duration retention{};
    /// Tokens that the sender has passed to callers so far.
    Base::Tokens used;
    /// Maximum of the turn, of which `needed` is the part that the sender lacks; 0 from builds that
    /// do not state it.
    Base::Tokens turnMaximum{};

    bool operator==(const TokenRequest &) const = default;
};

struct TokenResponse
{
    RequestNumber number;
    Programs::TurnVerdict verdict = Programs::TurnVerdict::Unavailable;
    /// Tokens granted; with Unavailable, the overdraft of the coordinator.
    Base::Tokens amount;

    bool operator==(const TokenResponse &) const = default;
};

/// Returns unused tokens of the grant that the sender received under this number. Has no response.
struct TokenReturn
{
    RequestNumber number;
    Base::Tokens amount;

    bool operator==(const TokenReturn &) const = default;
};

/// Acknowledges a request whose response takes longer, for example due to a write to the store.
struct RequestInProgress
{
    RequestNumber number;

    bool operator==(const RequestInProgress &) const = default;
};

/// Requests the write of an allocation for a daemon that cannot reach the store.
struct AllocationRelayRequest
{
    RequestNumber number;
    Programs::WriteAllocation allocation;

    bool operator==(const AllocationRelayRequest &) const = default;
};

struct AllocationRelayResponse
{
    RequestNumber number;
    Programs::AllocationOutcome outcome;

    bool operator==(const AllocationRelayResponse &) const = default;
};

/// Records at the next coordinator of a program what the sender may overdraw; 0 ends it.
struct OverdraftNotice
{
    RequestNumber number;
    Programs::RecordOverdraft overdraft;

    bool operator==(const OverdraftNotice &) const = default;
};

/// Response to OverdraftNotice.
struct OverdraftRecorded
{
    RequestNumber number;

    bool operator==(const OverdraftRecorded &) const = default;
};

/// The sender is about to end and connects to no more servers for others. Has no response.
struct RelayNotice
{
    bool operator==(const RelayNotice &) const = default;
};

/// Carries only the fields that every message has. Has no response.
struct Notice
{
    bool operator==(const Notice &) const = default;
};

using PeerBody = std::variant<PoolJoinRequest,
                              PoolJoinResponse,
                              PermitRequest,
                              PermitResponse,
                              PermitReturn,
                              TokenRequest,
                              TokenResponse,
                              RequestInProgress,
                              AllocationRelayRequest,
                              AllocationRelayResponse,
                              Notice,
                              LimitReport,
                              ServerPermitRequest,
                              ServerPermitReturn,
                              StreamNotice,
                              StreamVersionRequest,
                              StreamVersionResponse,
                              OverdraftNotice,
                              OverdraftRecorded,
                              Dispatch::CrashReport,
                              QuarantineNotice,
                              RelayNotice,
                              TokenReturn>;

/// One datagram between daemons.
struct PeerMessage
{
    Base::VmId sender;
    /// Version of the sender's routing document; 0 if it has none.
    Base::ConfigVersion routingVersion;
    PeerBody body;
    /// The sender's report of the server list; nothing if it has no list.
    std::optional<ListReport> servers;

    bool operator==(const PeerMessage &) const = default;
};

std::string encodePeerMessage(const PeerMessage &message);
/// Returns nothing if the bytes are no valid message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace Proxy
