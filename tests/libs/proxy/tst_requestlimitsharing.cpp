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
