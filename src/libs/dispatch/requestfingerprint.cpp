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

RequestFingerprints fingerprintsOf(const Base::TeamId &team,
                                   std::string_view target,
                                   std::string_view body)
{
    const std::uint64_t path = Base::hash64(target);
    return {{team, RequestScope::Path, path},
            {team, RequestScope::Exact, Base::hash64(body, path)}};
}

} // namespace Dispatch
