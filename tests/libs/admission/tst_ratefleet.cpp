#include "ratefleet.h"

#include <criterion/criterion.h>

#include <cmath>

using Admission::Permits;
using Admission::RateLimit;

namespace {

const Base::TeamId team("club");

/// Schedules calls with exponentially distributed gaps at a mean rate, spread over the daemons.
void load(RateFleet &fleet,
          const Base::TeamId &name,
          double perSecond,
          double seconds,
          std::size_t daemons,
          Base::Random &random)
{
    for (double t = 0.01; t < seconds;) {
        fleet.call(name, random.below(daemons), RateFleet::at(t));
        t += -std::log(1.0 - random.unit()) / perSecond;
    }
}

void addFaults(RateFleet &fleet, std::size_t daemons, double seconds, Base::Random &random)
{
    const auto moment = [&] { return RateFleet::at(random.unit() * seconds); };
    for (int i = 0; i < 3; i++) {
        const Base::Duration length = std::chrono::milliseconds(random.below(1500));
        fleet.pause(random.below(daemons), moment(), length);
        fleet.restart(random.below(daemons), moment());
        fleet.replaceOwner(team, random.below(daemons), moment());
    }
}

} // namespace

Test(ratefleet, noWindowExceedsRateAndBurstUnderFaults)
{
    constexpr double seconds = 4;
    std::size_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 3000; seed++) {
        Base::Random random(seed);
        const std::size_t daemons = 2 + random.below(6);
        const RateLimit limit{5 + random.unit() * 200,
                              Permits(1 + static_cast<std::int64_t>(random.below(60)))};
        RateFleet::Network network;
        network.lossChance = random.unit() * 0.2;
        network.duplicateChance = random.unit() * 0.3;
        network.slowChance = random.unit() * 0.3;
        RateFleet fleet(daemons, network, seed);
        fleet.addTeam(team, limit, random.below(daemons));
        load(fleet, team, limit.perSecond * (0.5 + random.unit() * 4), seconds, daemons, random);
        addFaults(fleet, daemons, seconds, random);
        fleet.run(RateFleet::at(seconds + 3));
        const double excess = RateFleet::excess(fleet.admitted(team), limit);
        cr_assert_leq(excess, 1e-3, "seed %zu: %.4f above burst + rate * w", seed, excess);
        admitted += fleet.admitted(team).size();
    }
    cr_assert_gt(admitted, 200000U, "only %zu calls admitted", admitted);
}

Test(ratefleet, everyCallEndsOnce)
{
    for (std::uint64_t seed = 1; seed <= 50; seed++) {
        Base::Random random(seed);
        RateFleet fleet(5, {.lossChance = 0.1, .duplicateChance = 0.2, .slowChance = 0.2}, seed);
        const RateLimit limit{40, Permits(10)};
        fleet.addTeam(team, limit, 0);
        load(fleet, team, 100, 4, 5, random);
        fleet.pause(1, RateFleet::at(1), std::chrono::seconds(1));
        fleet.replaceOwner(team, 2, RateFleet::at(2));
        fleet.run(RateFleet::at(10));
        cr_assert_eq(fleet.pendingCalls(), 0U, "seed %zu", seed);
    }
}

Test(ratefleet, noCallIsRefusedBelowTheRate)
{
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 10; seed++) {
        Base::Random random(seed);
        RateFleet fleet(8, {}, seed);
        fleet.addTeam(team, RateLimit{80, Permits(40)}, 0);
        load(fleet, team, 64, 30, 8, random);
        fleet.run(RateFleet::at(40));
        refused += fleet.refusedBetween(team, RateFleet::at(1), RateFleet::at(30));
    }
    cr_assert_eq(refused, 0U);
}

Test(ratefleet, floodOfOneTeamDoesNotAffectAnother)
{
    const auto run = [](double floodPerSecond) {
        RateFleet fleet(8, {}, 7);
        const Base::TeamId flooding("flooding");
        fleet.addTeam(team, RateLimit{20, Permits(10)}, 0);
        fleet.addTeam(flooding, RateLimit{20, Permits(10)}, 0);
        Base::Random random(3);
        load(fleet, team, 19, 20, 8, random);
        Base::Random floodRandom(4);
        load(fleet, flooding, floodPerSecond, 20, 8, floodRandom);
        fleet.run(RateFleet::at(30));
        cr_assert_leq(RateFleet::excess(fleet.admitted(flooding), {20, Permits(10)}), 1e-3);
        return fleet.admitted(team);
    };
    const std::vector<Base::Instant> calm = run(10);
    cr_assert_gt(calm.size(), 300U);
    cr_assert(run(200) == calm);
}

Test(ratefleet, floodUsesTheWholeRate)
{
    for (const std::int64_t burst : {2, 10, 60}) {
        Base::Random random(5);
        RateFleet fleet(8, {}, 5);
        fleet.addTeam(team, RateLimit{40, Permits(burst)}, 0);
        load(fleet, team, 200, 20, 8, random);
        fleet.run(RateFleet::at(20));
        cr_assert_gt(fleet.admitted(team).size(), 40U * 20 * 95 / 100, "burst %zu", size_t(burst));
    }
}
