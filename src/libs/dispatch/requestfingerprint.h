#pragma once

#include <base/types.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Dispatch {

/// What requests with the same fingerprint have in common, besides their team.
enum class RequestScope {
    /// Path and query.
    Path,
    /// Path, query and body.
    Exact
};

/// Identifies the requests of one team that are equal within a scope.
struct RequestFingerprint
{
    /// Empty on public routes.
    Base::TeamId team;
    RequestScope scope = RequestScope::Exact;
    std::uint64_t hash = 0;

    /// The hash in hexadecimal.
    std::string text() const;

    auto operator<=>(const RequestFingerprint &) const = default;
};

/// The fingerprints of one request.
struct RequestFingerprints
{
    RequestFingerprint path;
    RequestFingerprint exact;

    std::array<RequestFingerprint, 2> all() const { return {path, exact}; }
    bool operator==(const RequestFingerprints &) const = default;
};

RequestFingerprints fingerprintsOf(const Base::TeamId &team,
                                   std::string_view target,
                                   std::string_view body);

} // namespace Dispatch
