#include <dispatch/coldservers.h>
#include <dispatch/serverdirectory.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

const Base::ServiceId service("vision");
constexpr Base::RequestRate rate(23);

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ListedServer listed(const char *id, std::uint64_t startedAt, std::optional<int> coldLeftMs)
{
    ListedServer server;
    server.server.id = Base::ServerId(id);
    server.server.service = service;
    server.server.zone = Base::ZoneId("zone-1");
    server.startedAt = startedAt;
    if (coldLeftMs) {
        server.coldLeft = std::chrono::milliseconds(*coldLeftMs);
    }
    return server;
}

ColdServers configured()
{
    ColdServers servers;
    servers.configure(service, std::chrono::seconds(3), rate);
    return servers;
}

/// Milliseconds since 0 at which the server is cold no more; 0 if it is not cold.
std::int64_t coldUntil(const ColdServers &servers, const ListedServer &server, std::int64_t now = 0)
{
    const auto limit = servers.limitOf(server.instance(), at(now));
    return limit ? std::chrono::duration_cast<std::chrono::milliseconds>(
                       limit->until.time_since_epoch())
                       .count()
                 : 0;
}

} // namespace

/// Guards against a bound for services that have none in their configuration.
Test(coldservers, servicesWithoutARateHaveNoColdServers)
{
    ColdServers servers;
    const ListedServer server = listed("a", 1, 3000);
    servers.serversChanged({server}, at(0));
    cr_assert_eq(coldUntil(servers, server), 0);
    servers.configure(service, std::chrono::seconds(3), Base::RequestRate(0));
    cr_assert_eq(coldUntil(servers, server), 0);
    servers.configure(service, std::chrono::seconds(3), rate);
    cr_assert_eq(coldUntil(servers, server), 3000, "the configuration may follow the list");
    cr_assert_eq(servers.limitOf(server.instance(), at(0))->rate, rate);
}

/// Guards against a daemon that starts and limits, or floods, all servers.
Test(coldservers, theFirstListTellsWhichServersAreCold)
{
    ColdServers servers = configured();
    const ListedServer warm = listed("a", 1, 0);
    const ListedServer cold = listed("b", 1, 1200);
    const ListedServer unknown = listed("c", 1, {});
    const auto becameCold = servers.serversChanged({warm, cold, unknown}, at(0));
    cr_assert_eq(becameCold.size(), 2);
    cr_assert_eq(servers.count(at(0)), 2);
    cr_assert_eq(coldUntil(servers, warm), 0);
    cr_assert_eq(coldUntil(servers, cold), 3000, "first seen by this process");
    cr_assert_eq(coldUntil(servers, unknown), 3000);
    cr_assert_eq(servers.count(at(3000)), 0);
}

/// Guards against a restart under the same id that is taken for the warm process before it.
Test(coldservers, aNewInstanceIsCold)
{
    ColdServers servers = configured();
    servers.serversChanged({listed("a", 1, 0)}, at(0));
    const ListedServer restarted = listed("a", 2, 0);
    servers.serversChanged({restarted}, at(10'000));
    cr_assert_eq(coldUntil(servers, restarted, 10'000), 13'000);
    servers.serversChanged({restarted}, at(11'000));
    cr_assert_eq(coldUntil(servers, restarted, 11'000), 13'000, "counted from the first look");
}

/// Guards against a server that gets its full load when it becomes cold without a restart.
Test(coldservers, aServerMayBecomeColdAgain)
{
    ColdServers servers = configured();
    servers.serversChanged({listed("a", 1, 0)}, at(0));
    const ListedServer again = listed("a", 1, 3000);
    cr_assert_eq(servers.serversChanged({again}, at(8000)).size(), 1);
    cr_assert_eq(coldUntil(servers, again, 8000), 11'000);
    servers.serversChanged({listed("a", 1, 0)}, at(9000));
    cr_assert_eq(coldUntil(servers, again, 9000), 11'000, "an earlier statement is not shortened");
}

Test(coldservers, serversOfAReopenedZoneAreCold)
{
    ColdServers servers = configured();
    const ListedServer server = listed("a", 1, 0);
    servers.serversChanged({server}, at(0));
    servers.zoneReopened(Base::ZoneId("zone-2"), at(1000));
    cr_assert_eq(coldUntil(servers, server, 1000), 0);
    servers.zoneReopened(Base::ZoneId("zone-1"), at(1000));
    cr_assert_eq(coldUntil(servers, server, 1000), 4000);
}

/// Guards against a server that is cold for good because its entry states an unusable time.
Test(coldservers, anUnusableTimeCountsOnce)
{
    ColdServers servers = configured();
    servers.serversChanged({listed("a", 1, 0)}, at(0));
    const ListedServer unusable = listed("a", 1, {});
    servers.serversChanged({unusable}, at(5000));
    cr_assert_eq(coldUntil(servers, unusable, 5000), 8000);
    servers.serversChanged({unusable}, at(7000));
    cr_assert_eq(coldUntil(servers, unusable, 7000), 8000);
}

/// Guards against a list that all daemons fetch anew twice a second while any server is cold.
Test(coldservers, theCountdownDoesNotChangeTheList)
{
    const auto changed = [](std::optional<int> before, std::optional<int> after) {
        return hasChanged({listed("a", 1, before)}, {listed("a", 1, after)});
    };
    cr_assert(!changed(3000, 2300));
    cr_assert(!changed(0, 0));
    cr_assert(changed(2300, 3000), "cold again");
    cr_assert(changed(700, 0));
    cr_assert(changed(0, 700));
    cr_assert(changed({}, 700));
    cr_assert(hasChanged({listed("a", 1, 3000)}, {listed("a", 2, 2300)}), "another instance");
    cr_assert(hasChanged({listed("a", 1, 0)}, {}));

    ServerDirectory directory(std::chrono::seconds(2));
    cr_assert(directory.applyList({listed("a", 1, 3000)}, at(0)));
    cr_assert(!directory.applyList({listed("a", 1, 2300)}, at(700)));
    cr_assert(directory.applyList({listed("a", 1, 2400)}, at(1400)), "compared with the last one");
}
