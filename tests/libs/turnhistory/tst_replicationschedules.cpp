#include "replicationfleet.h"
#include "turns.h"

#include <base/random.h>

#include <criterion/criterion.h>

#include <cstdlib>

using namespace TurnHistory;

namespace {

/// Ticks without any holder stopped or cut off after which a disk that was lost counts as
/// recovered.
constexpr int catchUpTicks = 8;
constexpr std::uint64_t defaultSchedules = 10'000;

/// One random schedule: turns are written, continued and looked for while holders stop, lose their
/// disks, are cut off from each other, replaced, added and retired. No more disks are lost at once
/// than tolerated; any number of holders may be stopped.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
        , copies_(2 + random_.below(2))
        , fleet_(copies_ + 2 + random_.below(3), 2 + random_.below(3), copies_)
    {}

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            act();
        }
        for (const Base::VmId &vm : fleet_.registered()) {
            if (!fleet_.isUp(vm) && !fleet_.isGone(vm)) {
                fleet_.start(vm);
            }
        }
        fleet_.healCuts();
        for (int i = 0; i < 2 * catchUpTicks; ++i) {
            fleet_.tick();
        }
        for (const Turn &turn : kept_) {
            cr_assert_eq(searchFor(turn, {}), SearchState::Found, "%s", describe(turn).c_str());
            cr_assert_geq(fleet_.copiesOf(turn.id), copies_, "%s", describe(turn).c_str());
        }
    }

private:
    static constexpr int steps = 60;

    std::string describe(const Turn &turn) const
    {
        return "seed " + std::to_string(seed_) + ", turn " + turn.id.text();
    }

    Base::VmId anyHolder()
    {
        const std::vector<Base::VmId> holders = fleet_.registered();
        return holders[random_.below(holders.size())];
    }

    SearchState searchFor(const Turn &turn, const std::set<Base::VmId> &silent)
    {
        return fleet_.search(
            turn.id, turn.placementKey, [&](const auto &vm) { return silent.contains(vm); });
    }

    std::set<Base::VmId> someHolders(double chance)
    {
        std::set<Base::VmId> result;
        for (const Base::VmId &vm : fleet_.registered()) {
            if (random_.chance(chance)) {
                result.insert(vm);
            }
        }
        return result;
    }

    void write()
    {
        const std::string id = "t" + std::to_string(++lastTurn_);
        const std::string key = "p" + std::to_string(random_.below(6));
        const Turn turn = makeTurn(id, kept_.empty() ? "" : kept_.back().id.text(), key);
        const std::set<Base::VmId> skipped = someHolders(0.15);
        if (fleet_.write(turn, [&](const auto &vm) { return skipped.contains(vm); })) {
            kept_.push_back(turn);
        }
    }

    void look()
    {
        if (kept_.empty()) {
            return;
        }
        const Turn &turn = kept_[random_.below(kept_.size())];
        cr_assert_neq(
            searchFor(turn, someHolders(0.3)), SearchState::Absent, "%s", describe(turn).c_str());
    }

    std::size_t stoppedHolders() const
    {
        std::size_t count = 0;
        for (const Base::VmId &vm : fleet_.registered()) {
            count += fleet_.isUp(vm) || fleet_.isGone(vm) ? 0 : 1;
        }
        return count;
    }

    bool mayLoseADisk() const { return lostDisks_ + 1 < copies_; }

    /// Time counts for the recovery of lost disks only while all holders can work.
    void tick()
    {
        fleet_.tick();
        const bool isQuiet = !hasCuts_ && stoppedHolders() == 0;
        quietTicks_ = isQuiet ? quietTicks_ + 1 : 0;
        if (quietTicks_ >= catchUpTicks) {
            lostDisks_ = 0;
        }
    }

    void loseDisk()
    {
        if (!mayLoseADisk()) {
            return;
        }
        const Base::VmId vm = anyHolder();
        if (fleet_.isGone(vm)) {
            return;
        }
        ++lostDisks_;
        quietTicks_ = 0;
        fleet_.stop(vm);
        if (random_.chance(0.3) && !fleet_.isRetiring()) {
            fleet_.replace(vm);
            return;
        }
        fleet_.emptyDisk(vm);
        if (random_.chance(0.7)) {
            fleet_.start(vm);
        }
    }

    void changeFleet()
    {
        if (random_.chance(0.5)) {
            fleet_.add(random_.below(4));
        } else if (!fleet_.isRetiring() && fleet_.up().size() > copies_ + 1) {
            const std::vector<Base::VmId> holders = fleet_.up();
            fleet_.retire(holders[random_.below(holders.size())]);
        }
    }

    void stopOrStart()
    {
        const Base::VmId vm = anyHolder();
        if (fleet_.isGone(vm)) {
            return;
        }
        if (!fleet_.isUp(vm)) {
            fleet_.start(vm);
        } else if (random_.chance(0.4)) {
            fleet_.stop(vm);
        }
    }

    void cutOrHeal()
    {
        hasCuts_ = random_.chance(0.5);
        if (!hasCuts_) {
            fleet_.healCuts();
            return;
        }
        const Base::VmId a = anyHolder();
        const Base::VmId b = anyHolder();
        if (a != b) {
            fleet_.setCut(a, b, true);
        }
    }

    void act()
    {
        switch (random_.below(16)) {
        case 0:
            loseDisk();
            break;
        case 1:
        case 2:
            stopOrStart();
            break;
        case 3:
            cutOrHeal();
            break;
        case 4:
            changeFleet();
            break;
        case 5:
        case 6:
        case 7:
            write();
            break;
        case 8:
        case 9:
            look();
            break;
        default:
            tick();
            break;
        }
    }

    std::uint64_t seed_;
    Base::Random random_;
    std::size_t copies_;
    ReplicationFleet fleet_;
    std::vector<Turn> kept_;
    int lastTurn_ = 0;
    std::size_t lostDisks_ = 0;
    int quietTicks_ = 0;
    bool hasCuts_ = false;
};

} // namespace

/// MARJORAM_SCHEDULES sets the number of schedules for long runs by hand.
Test(replicationschedules, noKeptTurnIsLostOrCalledAbsent, .timeout = 0)
{
    const char *text = std::getenv("MARJORAM_SCHEDULES");
    const std::uint64_t count = text ? std::strtoull(text, nullptr, 10) : defaultSchedules;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        Schedule(seed).run();
    }
}
