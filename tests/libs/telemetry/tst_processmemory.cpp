#include <telemetry/processmemory.h>

#include <criterion/criterion.h>

#include <vector>

Test(processmemory, growsWithWhatIsUsed)
{
    const auto before = Telemetry::residentMemory();
    cr_assert(before && before->value() > 0);
    constexpr std::size_t size = 32 * 1024 * 1024;
    std::vector<char> used(size, 'x');
    const auto after = Telemetry::residentMemory();
    cr_assert(after && used.back() == 'x');
    cr_assert_gt(after->value() - before->value(), static_cast<std::int64_t>(size / 2));
}
