#pragma once

#include "messages.h"

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Admission {

/// Urgency of a request, by the cost of refusing it: a refused program in progress loses its work.
enum class Urgency {
    /// The first request of a program, as far as this daemon knows.
    NewProgram,
    /// A request of a program in progress, or a request without a program.
    Started,
    /// A call that a program makes only once; its refusal ends the program.
    ToolCall
};

struct PermitVerdict
{
    bool isAdmitted = true;
    /// Time until the request's permit is available; set for admitted requests only.
    Base::Duration wait{};
    /// Time until a request of this urgency can be admitted; set for refused requests only.
    Base::Duration retryAfter{};

    bool operator==(const PermitVerdict &) const = default;
};

/// What a request to a backend server with a limit accepts.
struct ServerPermitTerms
{
    Urgency urgency = Urgency::Started;
    /// The request accepts a permit that becomes valid later; otherwise it needs one now.
    bool mayWait = false;

    bool operator==(const ServerPermitTerms &) const = default;
};

/// What a cold server takes from all daemons together.
struct ColdRate
{
    Base::RequestRate rate;
    Base::Instant until;
    /// Part of a permit, from 0 to 1, that the first permit has to wait for. Spreads the first
    /// permits of pools that know of the server at the same time.
    double phase = 0;
};

using TeamLimits = std::vector<std::pair<Base::TeamId, RateLimit>>;

/// Permits of teams, and of backend servers that limit the requests of all daemons together, for
/// the daemons that use this daemon as their coordinator. Every daemon is entitled to an equal
/// share of each rate and burst, and contributes it to this pool while it is a member. A membership
/// expires after a short time unless it is renewed. Pools with different members never hold more
/// than the whole limit together, so a fleet that is split by network failures stays within its
/// limits without agreeing on a coordinator.
class PermitPool
{
public:
    explicit PermitPool(Base::Duration membershipLength)
        : membershipLength_(membershipLength)
    {}

    /// Sets the limits of all teams that have one; teams that remain keep their level.
    void configure(const TeamLimits &limits, Base::Instant now);
    /// Sets the number of daemons in the fleet, whether they are members or not.
    void setDaemonCount(std::size_t count, Base::Instant now);

    /// Sets or changes the limit of a backend server; without a rate it has none.
    void limitServer(const Base::ServerId &server,
                     std::optional<Base::RequestRate> rate,
                     Base::Instant now);

    /// Limits a cold server until the given time, in addition to what limitServer() sets. Of
    /// several such limits the smallest rate and the last end hold.
    void limitColdServer(const Base::ServerId &server, const ColdRate &cold, Base::Instant now);
    /// No request to a cold server is admitted before the given time, nor before the number of
    /// daemons is known.
    void admitColdFrom(Base::Instant time);

    /// Adds the member's share to this pool, or extends its membership.
    void renewMembership(const Base::VmId &member, Base::Instant now);

    /// Urgent requests may wait for their permit for a short time; new programs leave a reserve for
    /// programs in progress. Teams without a limit are always admitted.
    PermitVerdict admit(const Base::TeamId &team, Urgency urgency, Base::Instant now);
    /// Returns the permit of an admitted request that was not sent to any server.
    void refund(const Base::TeamId &team, Base::Instant now);

    /// Servers without a limit always admit.
    PermitVerdict admitToServer(const Base::ServerId &server,
                                const ServerPermitTerms &terms,
                                Base::Instant now);
    void refundToServer(const Base::ServerId &server, Base::Instant now);

    /// Whether more than half of the daemons have renewed their membership since the given time.
    bool hasMajoritySince(Base::Instant since) const;

private:
    struct Bucket
    {
        RateLimit limit;
        double level = 0;
        Base::Instant filledAt;
        bool isCold = false;
    };

    struct ServerBucket
    {
        Bucket bucket;
        std::optional<Base::RequestRate> stated;
        std::optional<ColdRate> cold;
    };

    struct Membership
    {
        Base::Instant joinedAt;
        Base::Instant renewedAt;
    };

    double share() const;
    double coldShare(Base::Instant now) const;
    double shareOf(const Bucket &bucket) const;
    void setRate(ServerBucket &server, Base::Instant now);
    void endCold(Base::Instant now);
    double capacityOf(const Bucket &bucket) const;
    void refill(Bucket &bucket, Base::Instant now) const;
    PermitVerdict admit(Bucket &bucket,
                        Urgency urgency,
                        Base::Duration longestWait,
                        Base::Instant now);
    void refund(Bucket &bucket, Base::Instant now);
    void refillAll(Base::Instant now);
    void updateMembers(Base::Instant now);

    Base::Duration membershipLength_;
    std::size_t daemonCount_ = 1;
    bool isConfigured_ = false;
    bool isCountKnown_ = false;
    Base::Instant coldFrom_ = Base::Instant::min();
    /// Share of the limits of cold servers since the last change of the members.
    double coldShare_ = 0;
    std::map<Base::VmId, Membership> members_;
    std::unordered_map<Base::TeamId, Bucket> buckets_;
    std::unordered_map<Base::ServerId, ServerBucket> serverBuckets_;
    /// No limit of a cold server ends before this time.
    Base::Instant nextColdEnd_ = Base::Instant::max();
};

} // namespace Admission
