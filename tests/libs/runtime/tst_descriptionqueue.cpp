#include <runtime/descriptionqueue.h>

#include <criterion/criterion.h>

using Base::RequestId;
using Runtime::DescriptionQueue;

namespace {

Scheduler::IncomingCall describe(std::uint64_t id)
{
    return {RequestId(id), "key", CallerApi::DescribeProgramRequest{Base::ProgramId("p")}};
}

} // namespace

// Guards against descriptions that are made all at once and fill the memory.
Test(descriptionqueue, startsNoMoreThanItsLimitAndKeepsTheOrder)
{
    DescriptionQueue queue(2);
    cr_assert(queue.add(describe(1)).has_value());
    cr_assert(queue.add(describe(2)).has_value());
    cr_assert_not(queue.add(describe(3)).has_value());
    cr_assert_not(queue.add(describe(4)).has_value());
    cr_assert_eq(queue.remove(RequestId(2)).value().request.value(), 3);
    cr_assert_eq(queue.remove(RequestId(1)).value().request.value(), 4);
    cr_assert_not(queue.remove(RequestId(3)).has_value());
    cr_assert(queue.add(describe(5)).has_value());
}

// Guards against a place that is lost with a caller that is gone, or given twice.
Test(descriptionqueue, forgetsCallersThatAreGone)
{
    DescriptionQueue queue(1);
    cr_assert(queue.add(describe(1)).has_value());
    cr_assert_not(queue.add(describe(2)).has_value());
    cr_assert_not(queue.add(describe(3)).has_value());
    cr_assert_not(queue.remove(RequestId(2)).has_value());
    cr_assert_not(queue.remove(RequestId(9)).has_value());
    cr_assert_eq(queue.remove(RequestId(1)).value().request.value(), 3);
    cr_assert_not(queue.remove(RequestId(1)).has_value());
}
