#include "peerfleet.h"

#include <algorithm>

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

/// Guards against streams that are lost when all daemons are killed at once, and against the
/// version of another stream. The caller may name the attempt or not.
Test(streamversionsharing, streamsAreFoundAfterTheRestartOfAllDaemons)
{
    constexpr std::size_t streams = 100;
    PeerFleet fleet(5, 3);
    const auto name = [](std::size_t stream) {
        return Dispatch::StreamName{"9c4" + std::to_string(stream), Dispatch::StreamKey(stream)};
    };
    const auto record = [](std::size_t stream) {
        return Dispatch::StreamRecord{stream % 2 == 0 ? version : otherVersion, {}, {}};
    };
    for (std::size_t stream = 0; stream < streams; ++stream) {
        fleet.streams(stream % fleet.size()).streamBegan(name(stream), record(stream));
    }
    fleet.runUntil([&] { return fleet.storedRecords() == 2 * streams; }, "the notices arrive");
    fleet.restartDaemons();
    fleet.loseStore(0);
    std::size_t foundByAttempt = 0;
    std::size_t foundByKey = 0;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        const std::size_t daemon = (stream + 1) % fleet.size();
        const auto isRight = [&](const Dispatch::StreamFinding &result) {
            const auto *found = std::get_if<Dispatch::StreamRecord>(&result);
            cr_assert(!found || found->version == record(stream).version);
            return found != nullptr;
        };
        foundByAttempt += isRight(finding(fleet, daemon, name(stream))) ? 1 : 0;
        foundByKey += isRight(finding(fleet, daemon, {"", name(stream).key})) ? 1 : 0;
    }
    cr_assert_geq(foundByAttempt, 90);
    cr_assert_geq(foundByKey, 90);
}

/// Guards against a daemon that has only an older stream with an equal request.
Test(streamversionsharing, ownRecordsOfAKeyCountOnlyWithOthers)
{
    PeerFleet fleet(2, 2);
    const Dispatch::StreamKey key(5);
    fleet.streams(0).streamBegan({"a", key}, {version, {}, {}});
    fleet.runUntil([&] { return fleet.storedRecords() == 2; }, "the notices arrive");
    const auto isFound = [&](const Dispatch::StreamName &stream) {
        return std::holds_alternative<Dispatch::StreamRecord>(finding(fleet, 0, stream));
    };
    cr_assert(isFound({"", key}));
    fleet.streams(1).streamBegan({"b", key}, {otherVersion, {}, {}});
    fleet.runUntil([&] { return fleet.storedRecords() == 4; }, "the notices arrive");
    cr_assert(finding(fleet, 0, {"", key}) == Dispatch::StreamFinding(Dispatch::AmbiguousStream{}));
    fleet.loseStore(0);
    fleet.loseStore(1);
    cr_assert(isFound({"a", key}));
    cr_assert(!isFound({"", key}));
}

/// Guards against more messages for each stream than were counted.
Test(streamversionsharing, aStreamIsRecordedAtTwoStoresAtMost)
{
    PeerFleet fleet(3, 5);
    for (int stream = 0; stream < 10; ++stream) {
        fleet.streams(0).streamBegan({std::to_string(stream), Dispatch::StreamKey(1)},
                                     {version, {}, {}});
    }
    fleet.runUntil([&] { return fleet.storedRecords() >= 20; }, "the notices arrive");
    cr_assert(found(fleet, 1, "none") == std::nullopt); // later notices have arrived
    cr_assert_eq(fleet.storedRecords(), 20);
}

/// Guards against an unusable search where no daemon keeps turns and no attempt is named.
Test(streamversionsharing, aKeyIsFoundWithoutRecordStores)
{
    PeerFleet fleet(5);
    for (std::uint64_t stream = 0; stream < 20; ++stream) {
        const Dispatch::StreamKey key(stream);
        fleet.streams(0).streamBegan({"9c4" + std::to_string(stream), key}, {version, {}, {}});
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            cr_assert(
                std::holds_alternative<Dispatch::StreamRecord>(finding(fleet, daemon, {"", key})));
        }
    }
}

/// Guards against the version of an earlier stream where those that may know a later one are
/// silent.
Test(streamversionsharing, aKeyIsUnknownIfBothOfItsRecordsMayBeSilent)
{
    PeerFleet fleet(6);
    const Dispatch::StreamKey key(5);
    const std::vector<std::size_t> keepers = fleet.keepersOf("stream 5");
    std::size_t asking = 0;
    while (std::find(keepers.begin(), keepers.end(), asking) != keepers.end() || asking == 0) {
        ++asking;
    }
    cr_assert_eq(keepers.size(), 3);
    fleet.streams(keepers[0]).streamBegan({"a", key}, {version, {}, {}});
    const auto isFound = [&] {
        return std::holds_alternative<Dispatch::StreamRecord>(finding(fleet, asking, {"", key}));
    };
    cr_assert(isFound());
    fleet.lose(keepers[0]);
    cr_assert(isFound(), "one of the two that are told of each stream responds");
    fleet.lose(keepers[1]);
    cr_assert(!isFound());
}
