#pragma once

#include <base/instant.h>

#include <cstdint>
#include <unordered_map>

namespace Dispatch {

/// Share of each first prompt part among the recent requests of a daemon. All daemons see about the
/// same shares, so they come to the same servers for a part without asking each other.
class PrefixDemand
{
public:
    /// Counts a request whose prompt begins with the part.
    void add(std::uint64_t part, Base::Instant now);
    /// From 0 to 1; 0 for a part that was not requested recently.
    double shareOf(std::uint64_t part, Base::Instant now) const;

private:
    struct Count
    {
        double value = 0;
        Base::Instant at;
    };

    static double decayed(const Count &count, Base::Instant now);

    std::unordered_map<std::uint64_t, Count> parts_;
    Count total_;
};

/// How much of a part the server is expected to keep, from 0 to 1: one server, the same for all
/// daemons, is the best home of a part, and a part has as many homes as its share of the requests
/// needs.
double expectedAtServer(std::uint64_t part, std::uint64_t serverHash, double share);

} // namespace Dispatch
