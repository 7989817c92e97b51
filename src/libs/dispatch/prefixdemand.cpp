#include "prefixdemand.h"

#include <base/random.h>

#include <algorithm>
#include <cmath>

namespace Dispatch {

namespace {

constexpr Base::Duration decayTime = std::chrono::seconds(20);

/// Parts whose demand is counted; more of them are in use only for a moment.
constexpr std::size_t maxParts = 1024;

/// Fraction of the servers that a part may use beyond its share, so that no home is overloaded.
constexpr double slack = 1.5;

} // namespace

double PrefixDemand::decayed(const Count &count, Base::Instant now)
{
    return count.value * std::exp(-Base::toSeconds(now - count.at) / Base::toSeconds(decayTime));
}

void PrefixDemand::add(std::uint64_t part, Base::Instant now)
{
    if (parts_.size() >= maxParts) {
        std::erase_if(parts_, [&](const auto &entry) { return decayed(entry.second, now) < 1; });
    }
    Count &count = parts_[part];
    count = {decayed(count, now) + 1, now};
    total_ = {decayed(total_, now) + 1, now};
}

double PrefixDemand::shareOf(std::uint64_t part, Base::Instant now) const
{
    const auto count = parts_.find(part);
    const double total = decayed(total_, now);
    return count == parts_.end() || total <= 0 ? 0 : decayed(count->second, now) / total;
}

double expectedAtServer(std::uint64_t part, std::uint64_t serverHash, double share)
{
    Base::Random random(part ^ serverHash);
    return std::max(0.0, 1 - random.unit() / std::max(1e-6, slack * share));
}

} // namespace Dispatch
