#pragma once

#include <base/types.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Dispatch {

/// Identifies equal requests: those of one team with the same path, query and body.
struct RequestFingerprint
{
    /// Empty on public routes.
    Base::TeamId team;
    std::uint64_t hash = 0;

    /// The hash in hexadecimal.
    std::string text() const;

    auto operator<=>(const RequestFingerprint &) const = default;
};

RequestFingerprint fingerprintOf(const Base::TeamId &team,
                                 std::string_view target,
                                 std::string_view body);

} // namespace Dispatch
