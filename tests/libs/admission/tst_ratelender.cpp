#include <admission/ratelender.h>

#include <criterion/criterion.h>

using namespace Admission;

namespace {

const Base::TeamId team("club");
const Base::IncarnationId daemonA("a.1");
const Base::IncarnationId daemonB("b.1");

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

RateLender fullLender()
{
    RateLender lender(team, RateLimit{10, Permits(10)}, LenderSettings{});
    lender.acquired(Base::Epoch(1), at(0), at(0), at(100000));
    lender.tick(at(1000));
    return lender;
}

GrantRequest request(const Base::IncarnationId &from, std::uint64_t number, std::int64_t needed)
{
    return GrantRequest{team, from, GrantRequestNumber(number), Permits(needed), Permits(), {}};
}

} // namespace

Test(ratelender, refillStopsWhilePermitsAreOutstanding)
{
    RateLender lender = fullLender();
    lender.requested(request(daemonA, 1, 10), at(1000));
    cr_assert_eq(lender.takeActions().at(0).grant.permits.value(), 10);
    lender.tick(at(1240));
    cr_assert_lt(lender.level(), 0.001);
    lender.tick(at(1350));
    cr_assert_gt(
        lender.level(), 0.9, "expired permits count as used and no longer limit the refill");
    cr_assert_lt(lender.level(), 1.1);
}

Test(ratelender, creditsAReturnOnce)
{
    RateLender lender = fullLender();
    lender.requested(request(daemonA, 1, 10), at(1000));
    const Grant grant = lender.takeActions().at(0).grant;
    const GrantReturn grantReturn{team, grant.epoch, grant.grant, Permits(4), Permits(6)};
    lender.returned(grantReturn, at(1000));
    lender.returned(grantReturn, at(1000));
    cr_assert_float_eq(lender.level(), 6.0, 1e-6);
    cr_assert_eq(lender.outstanding().value(), 0);
}

Test(ratelender, ignoresAReturnAfterTheExpiry)
{
    RateLender lender = fullLender();
    lender.requested(request(daemonA, 1, 10), at(1000));
    const Grant grant = lender.takeActions().at(0).grant;
    lender.returned({team, grant.epoch, grant.grant, Permits(0), Permits(10)}, at(1250));
    cr_assert_lt(lender.level(), 0.001);
}

Test(ratelender, newOwnerWaitsAndStartsEmpty)
{
    RateLender lender(team, RateLimit{10, Permits(10)}, LenderSettings{});
    lender.acquired(Base::Epoch(2), at(0), at(750), at(10000));
    lender.requested(request(daemonA, 1, 2), at(700));
    cr_assert(lender.takeActions().empty());
    lender.tick(at(849));
    cr_assert(lender.takeActions().empty());
    cr_assert_eq(lender.nextWakeUp()->time_since_epoch().count(), 850000);
    lender.tick(at(850));
    cr_assert_eq(lender.takeActions().at(0).grant.permits.value(), 1);
}

Test(ratelender, lendsNothingAfterItsLease)
{
    RateLender lender(team, RateLimit{10, Permits(10)}, LenderSettings{});
    lender.acquired(Base::Epoch(1), at(0), at(0), at(1000));
    lender.requested(request(daemonA, 1, 1), at(1000));
    cr_assert(lender.takeActions().empty());
}

Test(ratelender, queuedBorrowersAreServedRoundRobin)
{
    RateLender lender = fullLender();
    lender.requested(request(daemonA, 1, 10), at(1000));
    lender.requested(request(daemonA, 2, 50), at(1001));
    lender.requested(request(daemonB, 1, 1), at(1002));
    const std::vector<SendGrant> first = lender.takeActions();
    cr_assert_eq(first.at(2).grant.backlog.value(), 51);
    lender.returned({team, Base::Epoch(1), Base::GrantId(1), Permits(10), {}}, at(1010));
    lender.tick(at(1220));
    const std::vector<SendGrant> grants = lender.takeActions();
    cr_assert_eq(grants.size(), 2U);
    cr_assert_eq(grants.at(0).grant.permits.value(), 1);
    cr_assert(grants.at(1).borrower == daemonB);
}

Test(ratelender, aRepeatedRequestLendsNothing)
{
    RateLender lender = fullLender();
    lender.requested(request(daemonA, 1, 3), at(1000));
    lender.takeActions();
    lender.requested(request(daemonA, 1, 3), at(1001));
    cr_assert(lender.takeActions().empty());
}
