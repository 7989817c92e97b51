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

std::optional<Base::SoftwareVersion> soleVersion(const ServiceVersions &versions, std::int64_t now)
{
    return versions.soleVersion(engines, std::chrono::seconds(10), at(now));
}

} // namespace

Test(streamversions, keepsTheFirstVersionOfAStream)
{
    StreamVersions streams({});
    streams.add("a", v1, at(0));
    streams.add("a", v2, at(1));
    cr_assert(streams.find("a") == v1);
    cr_assert(!streams.find("b"));
}

Test(streamversions, isBoundedInTimeAndSize)
{
    StreamVersions streams({.retention = std::chrono::seconds(60), .maxStreams = 3});
    for (int i = 0; i < 5; ++i) {
        streams.add(std::to_string(i), v1, at(i));
    }
    cr_assert_eq(streams.size(), 3);
    cr_assert(!streams.find("1"));
    cr_assert(streams.find("2") == v1);
    streams.add("late", v2, at(63));
    cr_assert_eq(streams.size(), 2, "those of 2 s and 3 s have expired");
    cr_assert(streams.find("4") == v1);
}

Test(serviceversions, aSoleVersionHasBeenAloneForThePeriod)
{
    ServiceVersions versions;
    cr_assert(!soleVersion(versions, 0), "no server is listed");
    versions.serversChanged({listed("a", v1), listed("b", v1)}, at(0));
    cr_assert(!soleVersion(versions, 9));
    cr_assert(soleVersion(versions, 10) == v1);
    versions.serversChanged({listed("a", v1), listed("c", v1)}, at(11));
    cr_assert(soleVersion(versions, 11) == v1, "other servers of the version");
    versions.serversChanged({listed("a", v1), listed("d", v2)}, at(12));
    cr_assert(!soleVersion(versions, 40));
    versions.serversChanged({listed("d", v2)}, at(41));
    cr_assert(!soleVersion(versions, 50), "streams of the other version may be resumed");
    cr_assert(soleVersion(versions, 51) == v2);
    versions.serversChanged({}, at(60));
    cr_assert(!soleVersion(versions, 90));
}
