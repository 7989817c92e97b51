#include <dispatch/serviceversions.h>
#include <dispatch/streamversions.h>

#include <criterion/criterion.h>

#include <functional>

using namespace Dispatch;

namespace {

const Base::ServiceId engines("engines");
const Base::SoftwareVersion v1("v1");
const Base::SoftwareVersion v2("v2");

Base::Instant at(std::int64_t seconds)
{
    return Base::Instant(std::chrono::seconds(seconds));
}

ListedServer listed(const char *id, const Base::SoftwareVersion &version)
{
    ListedServer server;
    server.server.id = Base::ServerId(id);
    server.server.service = engines;
    server.version = version;
    return server;
}

std::optional<Base::SoftwareVersion> versionOf(const StreamFinding &finding)
{
    const auto *record = std::get_if<StreamRecord>(&finding);
    return record ? std::optional(record->version) : std::nullopt;
}

/// Confirms the list in each second of the period.
void confirm(ServiceVersions &versions, std::int64_t from, std::int64_t to)
{
    for (std::int64_t now = from; now <= to; ++now) {
        versions.listConfirmed(at(now), at(now));
    }
}

std::optional<Base::SoftwareVersion> soleVersion(const ServiceVersions &versions, std::int64_t now)
{
    return versions.soleVersion(engines, std::chrono::seconds(10), at(now));
}

} // namespace

Test(streamversions, keepsTheFirstVersionOfAStream)
{
    StreamVersions streams({});
    streams.add({"a", {}}, {v1, {}, {}}, at(0));
    streams.add({"a", {}}, {v2, {}, {}}, at(1));
    cr_assert(versionOf(streams.find({"a", {}}, at(1))) == v1);
    cr_assert(!versionOf(streams.find({"b", {}}, at(1))));
}

Test(streamversions, isBoundedInTimeAndSize)
{
    StreamVersions streams({.retention = std::chrono::seconds(60), .maxStreams = 3});
    const auto find = [&](const char *attempt, std::int64_t now) {
        return versionOf(streams.find({attempt, {}}, at(now)));
    };
    for (int i = 0; i < 5; ++i) {
        streams.add({std::to_string(i), StreamKey(7)}, {v1, {}, {}}, at(i));
    }
    cr_assert_eq(streams.size(), 3);
    cr_assert(!find("1", 4));
    cr_assert(find("2", 4) == v1);
    cr_assert(!find("2", 62), "expired before it is removed");
    streams.add({"late", {}}, {v2, {}, {}}, at(63));
    cr_assert_eq(streams.size(), 2, "those of 2 s and 3 s have expired");
    cr_assert(find("4", 63) == v1);
    streams.add({"last", {}}, {v2, {}, {}}, at(200));
    cr_assert(!versionOf(streams.find({"", StreamKey(7)}, at(200))), "the key is removed too");
}

/// Guards against the version of another stream with an equal request.
Test(streamversions, aKeyOfTwoVersionsIsAmbiguous)
{
    StreamVersions streams({.retention = std::chrono::seconds(60), .maxStreams = 9});
    streams.add({"a", StreamKey(7)}, {v1, {Base::ServerId("s"), 1}, {}}, at(0));
    streams.add({"b", StreamKey(7)}, {v1, {Base::ServerId("t"), 2}, {}}, at(1));
    const StreamFinding found = streams.find({"", StreamKey(7)}, at(2));
    cr_assert(
        found
        == StreamFinding(StreamRecord{v1, {Base::ServerId("t"), 2}, std::chrono::seconds(1)}));
    streams.add({"c", StreamKey(7)}, {v2, {}, {}}, at(2));
    cr_assert(std::holds_alternative<AmbiguousStream>(streams.find({"", StreamKey(7)}, at(3))));
    cr_assert(versionOf(streams.find({"a", StreamKey(7)}, at(3))) == v1, "the attempt is named");
    cr_assert(combined(found, StreamRecord{v2, {}, {}}) == StreamFinding(AmbiguousStream{}));
    cr_assert(combined(found, UnknownStream{}) == found);
}

Test(serviceversions, aSoleVersionHasBeenAloneForThePeriod)
{
    ServiceVersions versions{{}};
    confirm(versions, 0, 0);
    cr_assert(!soleVersion(versions, 0), "no server is listed");
    versions.serversChanged({listed("a", v1), listed("b", v1)}, at(0));
    confirm(versions, 0, 9);
    cr_assert(!soleVersion(versions, 9));
    confirm(versions, 10, 11);
    cr_assert(soleVersion(versions, 11) == v1);
    versions.serversChanged({listed("a", v1), listed("c", v1)}, at(11));
    cr_assert(soleVersion(versions, 11) == v1, "other servers of the version");
    versions.serversChanged({listed("a", v1), listed("d", v2)}, at(12));
    confirm(versions, 12, 40);
    cr_assert(!soleVersion(versions, 40));
    versions.serversChanged({listed("d", v2)}, at(41));
    confirm(versions, 41, 50);
    cr_assert(!soleVersion(versions, 50), "streams of the other version may be resumed");
    confirm(versions, 51, 51);
    cr_assert(soleVersion(versions, 51) == v2);
    versions.serversChanged({}, at(60));
    confirm(versions, 52, 90);
    cr_assert(!soleVersion(versions, 90));
}

/// Guards against a period that counts from the first list, which may be stale.
Test(serviceversions, anUnconfirmedListNamesNoSoleVersion)
{
    ServiceVersions versions{{}};
    versions.serversChanged({listed("a", v1)}, at(0));
    cr_assert(!soleVersion(versions, 100));
}

/// Guards against versions that come and go while the store is unavailable.
Test(serviceversions, thePeriodStartsAgainAfterAGapInTheConfirmations)
{
    ServiceVersions versions{{}};
    versions.setFleetStart();
    versions.serversChanged({listed("a", v1)}, at(0));
    confirm(versions, 0, 20);
    cr_assert(soleVersion(versions, 22) == v1);
    cr_assert(!soleVersion(versions, 23), "the list may be stale by now");
    confirm(versions, 40, 49);
    cr_assert(!soleVersion(versions, 49));
    confirm(versions, 50, 50);
    cr_assert(soleVersion(versions, 50) == v1);
}

/// Guards against refusals in a fleet that has just started and has had one version ever since.
Test(serviceversions, theFirstVersionOfTheFleetIsSoleAtOnce)
{
    ServiceVersions versions{{}};
    versions.setFleetStart();
    versions.serversChanged({listed("a", v1)}, at(1));
    cr_assert(!soleVersion(versions, 1), "not confirmed");
    confirm(versions, 1, 3);
    cr_assert(soleVersion(versions, 3) == v1);
    versions.serversChanged({}, at(4));
    versions.serversChanged({listed("b", v2)}, at(5));
    confirm(versions, 4, 6);
    cr_assert(!soleVersion(versions, 6), "streams of the first version may be resumed");
}

/// Guards against the version that was the only one before this daemon was out of step, while
/// servers of another one joined and began streams.
Test(serviceversions, aDaemonOutOfStepNamesNoFormerVersion)
{
    struct Case
    {
        const char *name;
        /// Applied to a daemon whose list was last confirmed at 20 s; the stream is resumed at 23
        /// s.
        std::function<void(ServiceVersions &)> events;
        std::optional<Base::SoftwareVersion> expected;
        bool isInStep;
    };
    const std::vector<ListedServer> former{listed("a", v1)};
    const std::vector<ListedServer> present{listed("a", v1), listed("b", v2)};
    const auto report = [](ServiceVersions &versions, Base::Instant asOf, Base::Instant now) {
        versions.listConfirmed(asOf, now);
    };
    const std::vector<Case> cases{
        {"normal", [&](auto &versions) { confirm(versions, 21, 23); }, v1, true},
        {"normal, read",
         [&](auto &versions) {
             confirm(versions, 21, 22);
             versions.listRead(former, at(23), at(23));
         },
         v1,
         true},
        {"normal, a server of another version has joined",
         [&](auto &versions) {
             confirm(versions, 21, 22);
             versions.listRead(present, at(23), at(23));
         },
         std::nullopt,
         true},
        {"normal, a version that has left again",
         [&](auto &versions) {
             confirm(versions, 21, 22);
             versions.listRead(present, at(22), at(22));
             versions.listRead(former, at(23), at(23));
         },
         std::nullopt,
         true},
        {"cut off, or store unavailable", [](auto &) {}, std::nullopt, false},
        {"cut off, then a read that shows the new version",
         [&](auto &versions) { versions.listRead(present, at(23), at(23)); },
         std::nullopt,
         true},
        {"cut off, then a read: the new version may have come and gone",
         [&](auto &versions) { versions.listRead(former, at(23), at(23)); },
         std::nullopt,
         true},
        {"stood still, report that waited unread",
         [&](auto &versions) { report(versions, at(23), at(23)); },
         std::nullopt,
         false},
        {"stood still, several such reports",
         [&](auto &versions) {
             report(versions, Base::Instant(std::chrono::milliseconds(21'500)), at(23));
             report(versions, Base::Instant(std::chrono::milliseconds(22'900)), at(23));
         },
         std::nullopt,
         false},
        {"stood still, list that waited unread",
         [&](auto &versions) {
             versions.serversChanged({listed("c", v1)}, at(23));
             report(versions, at(23), at(23));
         },
         std::nullopt,
         false},
    };
    for (const Case &each : cases) {
        for (const bool isFleetStart : {false, true}) {
            ServiceVersions versions{{}};
            if (isFleetStart) {
                versions.setFleetStart();
            }
            versions.serversChanged(former, at(0));
            confirm(versions, 0, 20);
            each.events(versions);
            cr_expect(soleVersion(versions, 23) == each.expected, "%s", each.name);
            cr_expect_eq(versions.isInStep(at(23)), each.isInStep, "%s", each.name);
        }
    }
}

/// Guards against a daemon that stays out of step.
Test(serviceversions, reportsCountAgainOnceTheBacklogIsRead)
{
    ServiceVersions versions{{}};
    versions.serversChanged({listed("a", v1)}, at(0));
    confirm(versions, 0, 20);
    confirm(versions, 30, 30);
    cr_assert(!versions.isInStep(at(30)));
    cr_assert(versions.confirmation(at(30))->age == std::chrono::seconds(10));
    confirm(versions, 31, 31);
    cr_assert(versions.isInStep(at(31)));
    confirm(versions, 32, 39);
    cr_assert(!soleVersion(versions, 39));
    confirm(versions, 40, 40);
    cr_assert(soleVersion(versions, 40) == v1);
}

/// Guards against a list that names the old version for a restarted server.
Test(serviceversions, aRecordIsUncertainIfItsServerWasRestartedBefore)
{
    ServiceVersions versions({.clockMargin = std::chrono::seconds(1)});
    ListedServer server = listed("a", v2);
    server.startedAt = 100'000;
    versions.serversChanged({server}, at(0));
    const StreamRecord record{v1, {Base::ServerId("a"), 5}, std::chrono::seconds(10)};
    cr_assert(versions.isUncertain(record, UnixMs(115'000)));
    cr_assert(versions.isUncertain(record, UnixMs(109'000)), "within the margin");
    cr_assert(!versions.isUncertain(record, UnixMs(108'999)), "began before the restart");
    cr_assert(!versions.isUncertain({v2, {Base::ServerId("a"), 5}, {}}, UnixMs(115'000)));
    cr_assert(!versions.isUncertain({v1, {Base::ServerId("b"), 5}, {}}, UnixMs(115'000)));
    cr_assert(!versions.isUncertain({v1, {}, {}}, UnixMs(115'000)), "of a previous build");
}

/// Guards against a server that was restarted with another version, crashed, and left the list
/// while the caller retried.
Test(serviceversions, aRecordStaysUncertainAfterItsServerHasLeft)
{
    ServiceVersions versions({.retention = std::chrono::seconds(60)});
    ListedServer server = listed("a", v2);
    server.startedAt = 100'000;
    versions.serversChanged({server}, at(0));
    versions.serversChanged({listed("b", v1)}, at(4));
    const StreamRecord record{v1, {Base::ServerId("a"), 5}, std::chrono::seconds(10)};
    cr_assert(versions.isUncertain(record, UnixMs(115'000)));
    versions.listRead({listed("b", v1)}, at(30), at(30));
    cr_assert(versions.isUncertain(record, UnixMs(115'000)));
    versions.serversChanged({}, at(65));
    cr_assert(!versions.isUncertain(record, UnixMs(115'000)), "no stream is that old");
}
