#pragma once

#include "messages.h"

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Admission {

/// What a refusal would cost: a program that has begun is lost with everything it has done.
enum class Urgency {
    /// The first request of a program, as far as this daemon knows.
    NewProgram,
    /// A program under way, or a request without a program.
    Started,
    /// A call that a program makes once; its refusal ends the program.
    ToolCall
};

struct PermitVerdict
{
    bool isAdmitted = true;
    /// The request's permit is there after this time; set for admitted requests only.
    Base::Duration wait{};
    /// When a request of this urgency fits; set for refusals only.
    Base::Duration retryAfter{};

    bool operator==(const PermitVerdict &) const = default;
};

using TeamLimits = std::vector<std::pair<Base::TeamId, RateLimit>>;

/// Permits of teams for the daemons that turn to this one. Every daemon has a right to an even part
/// of each rate and burst, and brings it along as a member for a short time. Pools with different
/// members together never hold more than the whole, so a fleet that falls apart stays within its
/// limits without agreeing on who gives permits.
class PermitPool
{
public:
    explicit PermitPool(Base::Duration membership)
        : membership_(membership)
    {}

    /// The limits of every team that has one; levels of teams that stay are kept.
    void configure(const TeamLimits &limits, Base::Instant now);
    /// Daemons of the fleet, members or not.
    void setDaemonCount(std::size_t count, Base::Instant now);

    /// The member's part is in this pool from now on for the time of a membership.
    void joined(const Base::VmId &member, Base::Instant now);

    /// Urgent requests may wait for their permit for a short time; new programs leave permits to
    /// those under way. Teams without a limit are admitted.
    PermitVerdict admit(const Base::TeamId &team, Urgency urgency, Base::Instant now);
    /// The admitted request was not sent to any server.
    void refund(const Base::TeamId &team, Base::Instant now);

    /// Whether more than half of the daemons have joined since the given time.
    bool hasMajoritySince(Base::Instant since) const;

private:
    struct Bucket
    {
        RateLimit limit;
        double level = 0;
        Base::Instant filledAt;
    };

    double part() const;
    double capacityOf(const Bucket &bucket) const;
    void refill(Bucket &bucket, Base::Instant now) const;
    void refillAll(Base::Instant now);
    void forgetExpired(Base::Instant now);

    Base::Duration membership_;
    std::size_t daemonCount_ = 1;
    bool isConfigured_ = false;
    std::map<Base::VmId, Base::Instant> joinedAt_;
    std::unordered_map<Base::TeamId, Bucket> buckets_;
};

} // namespace Admission
