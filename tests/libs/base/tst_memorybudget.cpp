#include <base/memorybudget.h>

#include <criterion/criterion.h>

#include <vector>

using Base::Bytes;
using Base::MemoryBudget;
using Base::MemoryLease;

namespace {

/// Enlarges the lease step by step until it is denied; returns its size.
std::size_t growToLimit(MemoryLease &lease)
{
    constexpr std::size_t step = 10;
    while (lease.resize(lease.size() + step)) {
    }
    return lease.size();
}

} // namespace

/// Guards against a server that takes what the requests to all others need.
Test(memorybudget, oneHolderGetsHalf)
{
    MemoryBudget budget(Bytes(1000));
    MemoryLease first(budget.holder("one"));
    cr_assert_eq(growToLimit(first), 500);
    MemoryLease second(budget.holder("two"));
    cr_assert(second.resize(250));
    cr_assert_eq(budget.denials(), 1);
}

/// Guards against a budget that many holders use up together.
Test(memorybudget, holdersThatGrowWithoutEndLeaveAPartFree)
{
    constexpr std::size_t count = 9;
    MemoryBudget budget(Bytes(10'000));
    std::vector<MemoryLease> leases;
    for (std::size_t i = 0; i < count; ++i) {
        leases.emplace_back(budget.holder(std::to_string(i)));
    }
    for (int round = 0; round < 1000; ++round) {
        for (MemoryLease &lease : leases) {
            (void)lease.resize(lease.size() + 10);
        }
    }
    cr_assert_leq(budget.used(), Bytes(9000));
    MemoryLease next(budget.holder("next"));
    cr_assert(next.resize(400));
}

/// Guards against a server that gets more by sending many responses.
Test(memorybudget, leasesOfOneNameShareALimit)
{
    MemoryBudget budget(Bytes(1000));
    MemoryLease first(budget.holder("one"));
    MemoryLease second(budget.holder("one"));
    cr_assert(first.resize(400));
    cr_assert(!second.resize(200));
    cr_assert_eq(second.size(), 0);
    MemoryLease other(budget.newHolder());
    cr_assert(other.resize(200));
}

Test(memorybudget, returnsWhatALeaseHeld)
{
    MemoryBudget budget(Bytes(1000));
    {
        MemoryLease lease(budget.holder("one"));
        cr_assert(lease.resize(400));
        MemoryLease moved = std::move(lease);
        lease = MemoryLease(budget.holder("two"));
        cr_assert(lease.resize(100));
        cr_assert_eq(budget.used(), Bytes(500));
        moved = {};
        cr_assert_eq(budget.used(), Bytes(100));
        cr_assert(lease.resize(50));
        cr_assert_eq(budget.used(), Bytes(50));
    }
    cr_assert_eq(budget.used(), Bytes(0));
    cr_assert_eq(budget.peak(), Bytes(500));
}

/// Guards against bytes that were kept already and are missing from the account.
Test(memorybudget, countsBytesThatCannotBeGivenUp)
{
    MemoryBudget budget(Bytes(1000));
    MemoryLease first(budget.newHolder());
    first.forceResize(1200);
    MemoryLease second(budget.newHolder());
    cr_assert(!second.resize(1));
    first.release();
    cr_assert(second.resize(1));
}

Test(memorybudget, isUnlimitedByDefault)
{
    MemoryBudget budget;
    MemoryLease lease(budget.newHolder());
    cr_assert(lease.resize(std::size_t(1) << 40));
    MemoryLease withoutHolder;
    cr_assert(withoutHolder.resize(std::size_t(1) << 40));
}
