#include "requestfingerprint.h"

#include <base/random.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace Dispatch {

std::string RequestFingerprint::text() const
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, hash);
    return digits.data();
}

RequestFingerprint fingerprintOf(const Base::TeamId &team,
                                 std::string_view target,
                                 std::string_view body)
{
    return {team, Base::hash64(body, Base::hash64(target))};
}

} // namespace Dispatch
