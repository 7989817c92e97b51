#include <dispatch/requestlimits.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

const ServerInstance first{Base::ServerId("engine-1"), 1700};
const ServerInstance restarted{Base::ServerId("engine-1"), 1800};
const ServerInstance other{Base::ServerId("engine-2"), 1700};

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

LimitStatement limited(const ServerInstance &instance, double perSecond, std::int64_t time)
{
    return {instance, Base::RequestRate(perSecond), at(time)};
}

LimitStatement unlimited(const ServerInstance &instance, std::int64_t time)
{
    return {instance, {}, at(time)};
}

} // namespace

Test(requestlimits, theNewestStatementHolds)
{
    RequestLimits limits;
    cr_assert(!limits.apply(unlimited(first, 5), at(5)), "no limit was known");
    cr_assert(limits.find(first) == nullptr);
    cr_assert(limits.apply(limited(first, 4, 10), at(20)));
    cr_assert(!limits.apply(limited(first, 9, 8), at(21)), "an older statement");
    cr_assert(!limits.apply(unlimited(first, 9), at(22)), "an older statement");
    cr_assert(!limits.apply(limited(first, 4, 30), at(30)), "the same limit");
    cr_assert(!limits.apply(unlimited(first, 25), at(31)), "the limit was confirmed at 30");
    cr_assert(limits.apply(unlimited(first, 40), at(41)));
    cr_assert(!limits.find(first)->limit);
    cr_assert(!limits.apply(limited(first, 4, 35), at(50)), "a late report");
    cr_assert(limits.apply(limited(first, 0, 60), at(60)));
    cr_assert_eq(limits.find(first)->limit->value(), 0);
}

Test(requestlimits, aRestartedServerHasNoLimit)
{
    RequestLimits limits;
    limits.apply(limited(first, 4, 10), at(10));
    cr_assert(limits.find(restarted) == nullptr);
    limits.apply(limited(restarted, 5, 20), at(20));
    cr_assert_eq(limits.size(), 2);
    cr_assert(limits.retain({restarted}).empty(), "the id is still limited");
    cr_assert_eq(limits.size(), 1);
    cr_assert(limits.retain({other}) == std::vector{restarted.id});
    cr_assert_eq(limits.size(), 0);
}

Test(requestlimits, onlyRecentChangesAreReported)
{
    RequestLimits limits;
    limits.apply(limited(first, 4, 10), at(10));
    limits.apply(limited(other, 4, 10), at(10));
    limits.apply(limited(first, 4, 900), at(900));
    limits.apply(limited(other, 5, 900), at(900));
    const std::vector<LimitStatement> recent = limits.changedSince(at(800));
    cr_assert_eq(recent.size(), 1);
    cr_assert(recent.front() == limited(other, 5, 900));
}
