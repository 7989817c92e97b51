#include <dispatch/requestplacer.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

const Base::ServiceId service("engine");
const Base::ZoneId zoneA("zone-a");
const Base::ZoneId zoneB("zone-b");

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ListedServer server(const std::string &id, const Base::ZoneId &zone)
{
    ListedServer listed;
    listed.server.id = Base::ServerId(id);
    listed.server.service = service;
    listed.server.zone = zone;
    listed.server.slots = 4;
    listed.version = Base::SoftwareVersion(zone.text());
    return listed;
}

/// Placements out of 1000 that go to the server.
int placementsAt(RequestPlacer &placer, const std::string &id, std::int64_t milliseconds)
{
    int count = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto placement = placer.choose(service, {}, {}, at(milliseconds));
        count += placement->instance.id.text() == id ? 1 : 0;
    }
    return count;
}

} // namespace

/// Guards against a set that arrives late and reopens a zone, and against changes that are reported
/// twice.
Test(zoneclosures, repeatedAndOldSetsChangeNothing)
{
    ZoneClosures closures;
    cr_assert(!closures.isKnown());
    cr_assert_eq(closures.apply({{zoneA, 5}}, 5, at(0)).closed.size(), 1);
    cr_assert(closures.apply({{zoneA, 5}, {zoneA, 6}}, 6, at(10)).isEmpty(), "closed twice");
    cr_assert(closures.apply({}, 4, at(20)).isEmpty(), "late");
    cr_assert(closures.isClosed(zoneA));
    cr_assert_eq(closures.apply({}, 7, at(30)).reopened.size(), 1);
    cr_assert(closures.apply({}, 8, at(40)).isEmpty(), "opened twice");
    cr_assert(!closures.isClosed(zoneA));
}

/// Guards against a share that jumps, or that remains from an earlier closure.
Test(zoneclosures, aReopenedZoneReturnsGradually)
{
    ZoneClosures closures;
    cr_assert_eq(closures.returnShare(zoneA, at(0)), 1);
    closures.apply({{zoneA, 5}}, 5, at(0));
    cr_assert_eq(closures.returnShare(zoneA, at(0)), 0);
    closures.apply({}, 6, at(1000));
    cr_assert_float_eq(closures.returnShare(zoneA, at(1000)), 0.1, 1e-9);
    cr_assert_float_eq(closures.returnShare(zoneA, at(2500)), 0.55, 1e-9);
    cr_assert_eq(closures.returnShare(zoneA, at(4000)), 1);
    cr_assert(closures.returningZones(at(4000)).empty());
    closures.apply({{zoneA, 7}}, 7, at(2000));
    cr_assert_eq(closures.returnShare(zoneA, at(2500)), 0);
}

/// Guards against turns that follow their cached prompt into a closed zone.
Test(zoneclosures, aCachedPromptDoesNotLeadIntoAClosedZone)
{
    RequestPlacer placer(zoneA, {}, 1);
    placer.serversChanged({server("s1", zoneA), server("s2", zoneB)});
    const ServerInstance first = server("s1", zoneA).instance();
    const std::vector<PromptPart> prompt{{1, Base::Tokens(100'000)}};
    placer.requestSent(first, prompt);
    placer.applyClosures({{zoneA, 5}}, 5, at(0));
    cr_assert_eq(placer.choose(service, prompt, {}, at(0))->instance.id.text(), "s2");
    cr_assert(!placer.isAvailable(first));
    cr_assert(placer.isInClosedZone(first));
    cr_assert(!placer.hasOnlyClosedServers(service));
    cr_assert(placer.hasOnlyClosedServers(service, Base::SoftwareVersion("zone-a")));
    placer.serversChanged({server("s1", zoneA), server("s3", zoneA)});
    cr_assert(!placer.choose(service, {}, {}, at(0)), "a server that is listed later");
    cr_assert(placer.hasOnlyClosedServers(service));
    placer.serversChanged({});
    cr_assert(!placer.hasOnlyClosedServers(service), "no servers at all");
}

/// Guards against daemons that all send to a zone at the moment at which it reopens.
Test(zoneclosures, placementsReturnToAReopenedZoneGradually)
{
    RequestPlacer placer(zoneA, {}, 1);
    placer.serversChanged({server("s1", zoneA), server("s2", zoneB)});
    placer.applyClosures({{zoneA, 5}}, 5, at(0));
    cr_assert_eq(placementsAt(placer, "s1", 10), 0);
    placer.applyClosures({}, 6, at(1000));
    const int early = placementsAt(placer, "s1", 1000);
    const int middle = placementsAt(placer, "s1", 2500);
    cr_assert(early > 50 && early < 150, "%d", early);
    cr_assert(middle > 500 && middle < 600, "%d", middle);
    cr_assert_eq(placementsAt(placer, "s1", 4000), 1000, "the own zone costs least");
    placer.applyClosures({{zoneA, 7}}, 7, at(5000));
    placer.applyClosures({}, 8, at(6000));
    placer.serversChanged({server("s1", zoneA)});
    cr_assert_eq(placementsAt(placer, "s1", 6000), 1000, "no other server remains");
}

/// Guards against a feature that changes placements where no zone was ever closed.
Test(zoneclosures, placementsAreTheSameWithoutClosures)
{
    RequestPlacer plain(zoneA, {}, 7);
    RequestPlacer informed(zoneA, {}, 7);
    const std::vector<ListedServer> servers{
        server("s1", zoneA), server("s2", zoneB), server("s3", zoneA)};
    plain.serversChanged(servers);
    informed.serversChanged(servers);
    informed.applyClosures({}, 5, at(0));
    for (int i = 0; i < 200; ++i) {
        cr_assert(plain.choose(service, {}, {}, at(i))->instance
                  == informed.choose(service, {}, {}, at(i))->instance);
    }
}
