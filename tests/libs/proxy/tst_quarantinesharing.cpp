#include "peerfleet.h"

using namespace Proxy;

namespace {

const Base::TeamId team("club");
const Dispatch::RequestFingerprints deadly = Dispatch::fingerprintsOf(team, "/chat", "deadly");
const Dispatch::RequestFingerprints sound = Dispatch::fingerprintsOf(team, "/chat", "sound");

/// The request is sent to the server and breaks with it at once.
Dispatch::CrashReport crashOf(const std::string &server)
{
    return {deadly, {Base::ServerId(server), 1700}, Dispatch::CrashStage::Begun, {}};
}

std::size_t refusing(PeerFleet &fleet, const Dispatch::RequestFingerprints &request)
{
    std::size_t count = 0;
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        count += fleet.quarantine(daemon).isQuarantined(request) ? 1 : 0;
    }
    return count;
}

void runFor(PeerFleet &fleet, Base::Duration duration)
{
    const Base::Instant end = steadyNow() + duration;
    fleet.runUntil([&] { return steadyNow() >= end; }, "time passes");
}

} // namespace

/// Guards against a request that crashes the servers of one daemon after the other.
Test(quarantinesharing, aRequestThatCrashesServersIsRefusedByAllDaemons)
{
    PeerFleet fleet(6);
    fleet.quarantine(0).crashed(crashOf("s-1"));
    runFor(fleet, std::chrono::milliseconds(50));
    cr_assert_eq(refusing(fleet, deadly), 0U);
    fleet.quarantine(1).crashed(crashOf("s-2"));
    fleet.runUntil([&] { return refusing(fleet, deadly) == 6; }, "all refuse the request");
    fleet.runUntil([&] { return refusing(fleet, sound) == 6; }, "all refuse the path");
}

/// Guards against evidence that is lost with the daemon that collects it.
Test(quarantinesharing, theEvidenceOutlivesTwoDaemons)
{
    PeerFleet fleet(6);
    fleet.quarantine(0).crashed(crashOf("s-1"));
    runFor(fleet, std::chrono::milliseconds(50));
    const std::vector<std::size_t> keepers = fleet.keepersOf(deadly.path.text());
    fleet.lose(keepers[0]);
    fleet.lose(keepers[1]);
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        if (daemon != 0 && daemon != keepers[0] && daemon != keepers[1]) {
            fleet.quarantine(daemon).crashed(crashOf("s-2"));
            break;
        }
    }
    fleet.runUntil([&] { return refusing(fleet, deadly) >= 4; }, "the others refuse the request");
}

Test(quarantinesharing, aPathOfSoundRequestsIsNotRefused)
{
    PeerFleet fleet(6);
    fleet.quarantine(0).crashed(crashOf("s-1"));
    runFor(fleet, std::chrono::milliseconds(50));
    fleet.quarantine(4).completed(sound);
    fleet.quarantine(1).crashed(crashOf("s-2"));
    const Base::Instant end = steadyNow() + std::chrono::milliseconds(400);
    fleet.runUntil(
        [&] {
            cr_assert_eq(refusing(fleet, sound), 0U);
            return steadyNow() >= end;
        },
        "time passes");
    cr_assert_eq(refusing(fleet, deadly), 6U);
}

/// A daemon that was cut off when the others were told learns it later.
Test(quarantinesharing, aDaemonThatMissedTheDecisionLearnsIt)
{
    PeerFleet fleet(6);
    fleet.lose(5);
    fleet.quarantine(0).crashed(crashOf("s-1"));
    runFor(fleet, std::chrono::milliseconds(50));
    fleet.quarantine(1).crashed(crashOf("s-2"));
    fleet.runUntil([&] { return refusing(fleet, deadly) == 5; }, "the others refuse the request");
    cr_assert(!fleet.quarantine(5).isQuarantined(deadly));
    fleet.recover(5);
    fleet.runUntil([&] { return refusing(fleet, deadly) == 6; }, "it learns the decision");
}
