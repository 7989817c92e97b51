#include <admission/rateborrower.h>

#include <criterion/criterion.h>

using namespace Admission;

namespace {

const Base::TeamId team("club");

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

RateBorrower borrower()
{
    return RateBorrower(team, Base::IncarnationId("a.1"), RateLimit{10, Permits(10)}, {});
}

Grant grant(std::uint64_t id, std::uint64_t answers, std::int64_t permits, std::int64_t backlog = 0)
{
    return Grant{team,
                 Base::Epoch(1),
                 Base::GrantId(id),
                 GrantRequestNumber(answers),
                 Permits(permits),
                 std::chrono::milliseconds(250),
                 Permits(backlog),
                 Base::IncarnationId("a.1")};
}

template<typename Action>
std::vector<Action> take(RateBorrower &from)
{
    std::vector<Action> found;
    for (const BorrowerAction &action : from.takeActions()) {
        if (const auto *match = std::get_if<Action>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

} // namespace

Test(rateborrower, validityCountsFromTheRequest)
{
    RateBorrower late = borrower();
    late.arrived(Base::RequestId(1), at(10000), at(0));
    late.takeActions();
    late.granted(grant(1, 1, 1), at(250));
    cr_assert(take<AdmitCall>(late).empty());

    RateBorrower inTime = borrower();
    inTime.arrived(Base::RequestId(1), at(10000), at(0));
    inTime.granted(grant(1, 1, 1), at(249));
    cr_assert_eq(take<AdmitCall>(inTime).size(), 1U);
}

Test(rateborrower, aRepeatedGrantIsUsedOnce)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(10000), at(0));
    one.arrived(Base::RequestId(2), at(10000), at(0));
    one.granted(grant(1, 1, 1), at(3));
    one.granted(grant(1, 1, 1), at(4));
    cr_assert_eq(take<AdmitCall>(one).size(), 1U);
    cr_assert_eq(one.waiting(), 1U);
}

Test(rateborrower, refusesAtOnceWhenTheWaitIsKnownToBeTooLong)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(10000), at(0));
    one.granted(grant(0, 1, 0, 30), at(3));
    one.takeActions();
    one.arrived(Base::RequestId(2), at(10000), at(4));
    const std::vector<RefuseCall> refused = take<RefuseCall>(one);
    cr_assert_eq(refused.size(), 1U);
    cr_assert(refused[0].error.code == Base::ErrorCode::OverRate);
    cr_assert(refused[0].error.ran == Base::Ran::NotRun);
    cr_assert_not(refused[0].isWithinRate);
    cr_assert_geq(refused[0].error.retryAfter->count(), 2900000);
}

Test(rateborrower, refusesAtTheDeadlineWhenTheOwnerDoesNotRespond)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(200), at(0));
    one.tick(at(199));
    cr_assert(take<RefuseCall>(one).empty());
    one.tick(at(200));
    const std::vector<RefuseCall> refused = take<RefuseCall>(one);
    cr_assert_eq(refused.size(), 1U);
    cr_assert(refused[0].error.code == Base::ErrorCode::Unavailable);
    cr_assert(refused[0].isWithinRate);
}

Test(rateborrower, returnsUnusedPermits)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(10000), at(0));
    one.granted(grant(1, 1, 4), at(3));
    one.takeActions();
    one.tick(*one.nextWakeUp());
    const std::vector<SendGrantReturn> returns = take<SendGrantReturn>(one);
    cr_assert_eq(returns.size(), 1U);
    cr_assert_eq(returns[0].grantReturn.used.value(), 1);
    cr_assert_eq(returns[0].grantReturn.returned.value(), 3);
    one.arrived(Base::RequestId(2), at(10000), at(30));
    cr_assert(take<AdmitCall>(one).empty(), "returned permits must not be used");
}

Test(rateborrower, aCancelledCallTakesNoPermit)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(10000), at(0));
    one.arrived(Base::RequestId(2), at(10000), at(0));
    one.cancelled(Base::RequestId(1), at(1));
    one.granted(grant(1, 1, 1), at(3));
    const std::vector<AdmitCall> admitted = take<AdmitCall>(one);
    cr_assert_eq(admitted.size(), 1U);
    cr_assert_eq(admitted[0].request.value(), 2U);
}

Test(rateborrower, grantsOfAnEarlierIncarnationAreIgnored)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(10000), at(0));
    Grant stale = grant(1, 1, 1);
    stale.borrower = Base::IncarnationId("a.0");
    one.granted(stale, at(3));
    cr_assert(take<AdmitCall>(one).empty());
}

Test(rateborrower, demandOfRefusedCallsIsWithdrawn)
{
    RateBorrower one = borrower();
    one.arrived(Base::RequestId(1), at(200), at(0));
    one.granted(grant(0, 1, 0, 1), at(3));
    one.takeActions();
    one.tick(at(200));
    const std::vector<SendGrantRequest> requests = take<SendGrantRequest>(one);
    cr_assert_eq(requests.size(), 1U);
    cr_assert_eq(requests[0].request.needed.value(), 0);
}
