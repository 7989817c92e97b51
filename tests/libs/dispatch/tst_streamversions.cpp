#include <dispatch/serviceversions.h>
#include <dispatch/streamversions.h>

#include <criterion/criterion.h>

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
        versions.listConfirmed(at(now));
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
    cr_assert(soleVersion(versions, 24) == v1);
    cr_assert(!soleVersion(versions, 26), "the list may be stale by now");
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
