#include "peerfleet.h"

using namespace Proxy;

namespace {

const Base::SoftwareVersion version("v1.1");

/// The version that the daemon finds for the stream of the attempt.
std::optional<Base::SoftwareVersion> found(PeerFleet &fleet,
                                           std::size_t daemon,
                                           const std::string &attempt)
{
    std::optional<Base::SoftwareVersion> result;
    int answers = 0;
    fleet.streams(daemon).find(attempt, [&](const auto &foundVersion) {
        result = foundVersion;
        ++answers;
    });
    fleet.runUntil([&] { return answers > 0; }, "the search ends");
    cr_assert_eq(answers, 1);
    return result;
}

} // namespace

Test(streamversionsharing, everyDaemonFindsAStream)
{
    PeerFleet fleet(6);
    for (int stream = 0; stream < 20; ++stream) {
        const std::string attempt = "9c4" + std::to_string(stream);
        fleet.streams(0).streamBegan(attempt, version);
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            cr_assert(found(fleet, daemon, attempt) == version);
        }
    }
    cr_assert(!found(fleet, 3, "other"));
}

/// Guards against versions that are lost with the daemon that forwarded the stream.
Test(streamversionsharing, aStreamIsFoundAfterTheLossOfItsDaemonAndAnother)
{
    PeerFleet fleet(6);
    for (int stream = 0; stream < 20; ++stream) {
        fleet.streams(0).streamBegan("9c4" + std::to_string(stream), version);
    }
    cr_assert(found(fleet, 2, "9c40") == version); // the notices have arrived
    fleet.lose(0);
    fleet.lose(1);
    for (int stream = 0; stream < 20; ++stream) {
        cr_assert(found(fleet, 2, "9c4" + std::to_string(stream)) == version);
    }
    cr_assert(!found(fleet, 2, "other"), "the search ends without the lost daemons");
}
