#include "holderranking.h"

#include <base/random.h>

#include <algorithm>
#include <map>

namespace TurnHistory {

namespace {

struct RankedHolder
{
    std::uint64_t weight = 0;
    const Holder *holder = nullptr;
    /// Number of holders of the same zone with a greater weight.
    std::size_t rankInZone = 0;
};

} // namespace

std::vector<Base::VmId> rankHolders(const std::string &placementKey,
                                    const std::vector<Holder> &holders)
{
    const std::uint64_t seed = Base::hash64(placementKey);
    std::vector<RankedHolder> ranked;
    ranked.reserve(holders.size());
    for (const Holder &holder : holders) {
        ranked.push_back({Base::hash64(holder.vm.text(), seed), &holder});
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.holder->vm < b.holder->vm;
    });
    std::map<Base::ZoneId, std::size_t> countOfZone;
    for (RankedHolder &entry : ranked) {
        entry.rankInZone = countOfZone[entry.holder->zone]++;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.rankInZone < b.rankInZone;
    });
    std::vector<Base::VmId> result;
    result.reserve(ranked.size());
    for (const RankedHolder &entry : ranked) {
        result.push_back(entry.holder->vm);
    }
    return result;
}

} // namespace TurnHistory
