#include "peerfleet.h"

using namespace Proxy;

namespace {

const Dispatch::ServerInstance server{Base::ServerId("engine-1"), 1700};

bool isLimitedEverywhere(PeerFleet &fleet, bool isLimited)
{
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        if (fleet.limits(daemon).isLimited(server) != isLimited) {
            return false;
        }
    }
    return true;
}

Dispatch::ListedServer coldServer()
{
    Dispatch::ListedServer listed;
    listed.server.id = server.id;
    listed.server.service = Base::ServiceId("vision");
    listed.startedAt = server.startedAt;
    listed.coldLeft = std::chrono::minutes(1);
    return listed;
}

constexpr double coldRate = 23;

Contracts::RoutedService coldService()
{
    Contracts::RoutedService service;
    service.id = Base::ServiceId("vision");
    service.coldRate = Base::RequestRate(coldRate);
    return service;
}

/// Has each of the daemons request a permit in every round; returns the number of permits.
int admittedOf(PeerFleet &fleet, const std::vector<std::size_t> &daemons, int rounds)
{
    int admitted = 0;
    for (int round = 0; round < rounds; ++round) {
        std::size_t answered = 0;
        for (const std::size_t daemon : daemons) {
            fleet.limits(daemon).acquire(server, {}, [&](const Admission::PermitVerdict &verdict) {
                admitted += verdict.isAdmitted ? 1 : 0;
                ++answered;
            });
        }
        fleet.runUntil([&] { return answered == daemons.size(); }, "every request is answered");
    }
    return admitted;
}

} // namespace

Test(requestlimitsharing, everyDaemonLearnsAChangedLimit)
{
    PeerFleet fleet(4);
    fleet.limits(1).stated({server, Base::RequestRate(3), steadyNow()});
    fleet.runUntil([&] { return isLimitedEverywhere(fleet, true); }, "all know the limit");
    fleet.limits(2).stated({server, {}, steadyNow()});
    fleet.runUntil([&] { return isLimitedEverywhere(fleet, false); }, "all know that it ended");
}

/// Guards against daemons that each use the whole limit of a server.
Test(requestlimitsharing, daemonsShareOneLimit)
{
    constexpr double limit = 5;
    PeerFleet fleet(4);
    const auto begin = std::chrono::steady_clock::now();
    fleet.limits(0).stated({server, Base::RequestRate(limit), steadyNow()});
    fleet.runUntil([&] { return isLimitedEverywhere(fleet, true); }, "all know the limit");
    int admitted = 0;
    int answered = 0;
    const auto askAll = [&] {
        answered = 0;
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            fleet.limits(daemon).acquire(server, {}, [&](const Admission::PermitVerdict &verdict) {
                admitted += verdict.isAdmitted ? 1 : 0;
                ++answered;
            });
        }
    };
    for (int round = 0; round < 50 || admitted < 5; ++round) {
        askAll();
        fleet.runUntil([&] { return answered == 4; }, "every request is answered");
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    cr_assert_leq(admitted, 1.5 * limit * (seconds + 4) + 5);
}

Test(requestlimitsharing, aDepartedServerIsForgotten)
{
    PeerFleet fleet(1);
    fleet.limits(0).stated({server, Base::RequestRate(3), steadyNow()});
    Dispatch::ListedServer listed;
    listed.server.id = server.id;
    listed.startedAt = server.startedAt;
    fleet.limits(0).serversChanged({listed});
    cr_assert(fleet.limits(0).isLimited(server));
    fleet.limits(0).serversChanged({});
    cr_assert(!fleet.limits(0).isLimited(server));
}

/// Guards against daemons that each use the whole rate of a cold server, and against a coordinator
/// that lacks the list or the configuration and grants every request.
Test(requestlimitsharing, daemonsShareTheRateOfAColdServer)
{
    PeerFleet fleet(4);
    const auto begin = std::chrono::steady_clock::now();
    const std::vector<std::size_t> informed{0, 1};
    for (const std::size_t daemon : informed) {
        cr_assert(!fleet.limits(daemon).isLimited(server));
        fleet.limits(daemon).configure({coldService()});
        fleet.limits(daemon).serversChanged({coldServer()});
        cr_assert(fleet.limits(daemon).isLimited(server));
    }
    const int admitted = admittedOf(fleet, informed, 150);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    cr_assert_leq(admitted, coldRate * elapsed.count() + 6, "%d permits", admitted);
}

/// Guards against unlimited permits of a coordinator of a build that does not know cold servers:
/// each daemon then uses its even part.
Test(requestlimitsharing, daemonsUseTheirEvenPartIfTheCoordinatorKnowsNoColdServers)
{
    PeerFleet fleet(4);
    const auto begin = std::chrono::steady_clock::now();
    const std::size_t coordinator = fleet.coordinatorOf(server.id);
    fleet.limits(coordinator).stated({server, Base::RequestRate(1000), steadyNow()});
    fleet.runUntil([&] { return isLimitedEverywhere(fleet, true); }, "the coordinator responds");
    fleet.limits(coordinator).stated({server, {}, steadyNow()});
    fleet.runUntil([&] { return isLimitedEverywhere(fleet, false); }, "all know that it ended");
    fleet.downgrade(coordinator);
    std::vector<std::size_t> daemons;
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        if (daemon == coordinator) {
            continue;
        }
        fleet.limits(daemon).configure({coldService()});
        fleet.limits(daemon).serversChanged({coldServer()});
        daemons.push_back(daemon);
    }
    const int admitted = admittedOf(fleet, daemons, 150);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    cr_assert_leq(admitted, coldRate * elapsed.count() + 6, "%d permits", admitted);
}

/// Guards against a configuration without a cold rate that limits servers all the same.
Test(requestlimitsharing, coldServersOfServicesWithoutARateAreNotLimited)
{
    PeerFleet fleet(1);
    Contracts::RoutedService service = coldService();
    service.coldRate = Base::RequestRate(0);
    fleet.limits(0).configure({service});
    fleet.limits(0).serversChanged({coldServer()});
    cr_assert(!fleet.limits(0).isLimited(server));
}
