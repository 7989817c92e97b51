#include <turnhistory/holderranking.h>

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace TurnHistory;

namespace {

std::vector<Holder> fleet(int zones, int holdersPerZone)
{
    std::vector<Holder> holders;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < holdersPerZone; ++i) {
            const std::string name = std::to_string(zone) + "-" + std::to_string(i);
            holders.push_back({Base::VmId("vm-" + name), Base::ZoneId(std::to_string(zone))});
        }
    }
    return holders;
}

Base::ZoneId zoneOf(const std::vector<Holder> &holders, const Base::VmId &vm)
{
    for (const Holder &holder : holders) {
        if (holder.vm == vm) {
            return holder.zone;
        }
    }
    return {};
}

} // namespace

Test(holderranking, placesTheFirstInDifferentZones)
{
    const std::vector<Holder> holders = fleet(4, 3);
    for (int key = 0; key < 200; ++key) {
        const auto ranked = rankHolders(std::to_string(key), holders);
        cr_assert_eq(ranked.size(), holders.size());
        std::set<Base::ZoneId> zones;
        for (std::size_t i = 0; i < 4; ++i) {
            zones.insert(zoneOf(holders, ranked[i]));
        }
        cr_assert_eq(zones.size(), 4);
    }
}

Test(holderranking, keepsTheOthersInOrderWhenOneLeaves)
{
    const std::vector<Holder> holders = fleet(4, 1);
    std::vector<Holder> fewer = holders;
    fewer.erase(fewer.begin() + 2);
    for (int key = 0; key < 200; ++key) {
        auto before = rankHolders(std::to_string(key), holders);
        std::erase(before, holders[2].vm);
        cr_assert(before == rankHolders(std::to_string(key), fewer));
    }
}

Test(holderranking, spreadsKeysEvenly)
{
    const std::vector<Holder> holders = fleet(2, 4);
    std::map<Base::VmId, int> firsts;
    constexpr int keys = 8000;
    for (int key = 0; key < keys; ++key) {
        ++firsts[rankHolders(std::to_string(key), holders).front()];
    }
    for (const auto &[vm, count] : firsts) {
        cr_assert(count > keys / 8 * 8 / 10 && count < keys / 8 * 12 / 10);
    }
}
