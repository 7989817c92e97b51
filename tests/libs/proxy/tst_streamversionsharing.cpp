#include "peerfleet.h"

using namespace Proxy;

namespace {

const Base::SoftwareVersion version("v1.1");
const Base::SoftwareVersion otherVersion("v1.2");

/// What the daemon finds out about the stream.
Dispatch::StreamFinding finding(PeerFleet &fleet,
                                std::size_t daemon,
                                const Dispatch::StreamName &stream)
{
    Dispatch::StreamFinding result;
    int answers = 0;
    fleet.streams(daemon).find(stream, [&](const auto &each) {
        result = each;
        ++answers;
    });
    fleet.runUntil([&] { return answers > 0; }, "the search ends");
    cr_assert_eq(answers, 1);
    return result;
}

/// The version that the daemon finds for the stream of the attempt.
std::optional<Base::SoftwareVersion> found(PeerFleet &fleet,
                                           std::size_t daemon,
                                           const std::string &attempt)
{
    const auto result = finding(fleet, daemon, {attempt, {}});
    const auto *record = std::get_if<Dispatch::StreamRecord>(&result);
    return record ? std::optional(record->version) : std::nullopt;
}

void begin(PeerFleet &fleet, const std::string &attempt)
{
    fleet.streams(0).streamBegan({attempt, {}}, {version, {}, {}});
}

} // namespace

Test(streamversionsharing, everyDaemonFindsAStream)
{
    PeerFleet fleet(6);
    for (int stream = 0; stream < 20; ++stream) {
        const std::string attempt = "9c4" + std::to_string(stream);
        begin(fleet, attempt);
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
        begin(fleet, "9c4" + std::to_string(stream));
    }
    cr_assert(found(fleet, 2, "9c40") == version); // the notices have arrived
    fleet.lose(0);
    fleet.lose(1);
    for (int stream = 0; stream < 20; ++stream) {
        cr_assert(found(fleet, 2, "9c4" + std::to_string(stream)) == version);
    }
    cr_assert(!found(fleet, 2, "other"), "the search ends without the lost daemons");
}
