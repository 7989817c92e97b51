#include "passthroughfixture.h"

namespace {

/// The proxy's own zone, where the first server is and where placement prefers it.
const Base::ZoneId home;
const Base::ZoneId elsewhere("elsewhere");

/// A proxy with one server in its zone and one in another.
class ZonesFixture : public Fixture
{
public:
    ZonesFixture()
    {
        configure();
        listSecondElsewhere();
    }

    void close(const std::vector<Base::ZoneId> &zones)
    {
        std::vector<Dispatch::ClosedZone> closed;
        closed.reserve(zones.size());
        for (const Base::ZoneId &zone : zones) {
            closed.push_back({zone, revision_});
        }
        passThrough().applyClosures(closed, ++revision_);
    }

    /// Lets the servers state limits, and answers requests for permits by \a takePermit.
    void limitServers(const std::function<void(const Dispatch::ServerInstance &,
                                               LimitControls::PermitCallback)> &takePermit)
    {
        LimitControls limits;
        limits.stated = [](const auto &) {};
        limits.isLimited = [](const auto &) { return true; };
        limits.takePermit = [takePermit](const auto &instance, const auto &, auto callback) {
            takePermit(instance, std::move(callback));
        };
        limits.returnPermit = [this](const auto &) { ++returnedPermits; };
        passThrough().setLimits(limits);
    }

    int returnedPermits = 0;

private:
    std::uint64_t revision_ = 1;
};

bool isFirst(const Dispatch::ServerInstance &instance)
{
    return instance.id == Base::ServerId("one");
}

} // namespace

/// Guards against a request on a connection that was kept from before the closure.
Test(closedzones, aKeptConnectionIsNotUsed)
{
    ZonesFixture fixture;
    fixture.first.add({{okResponse, okResponse}});
    fixture.second.add({{okResponse}});
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("Request-Id: r1\r\n");
    cr_assert_eq(fixture.first.requests().size(), 1);
    fixture.close({home});
    fixture.request("/safe/", "r2");
    fixture.awaitResponse("Request-Id: r2\r\n");
    cr_assert_eq(fixture.first.requests().size(), 1);
    cr_assert_eq(fixture.second.requests().size(), 1);
}

/// Guards against a refusal that does not name its cause, or is for a service without servers.
Test(closedzones, aRequestIsRefusedIfOnlyClosedZonesHaveServers)
{
    ZonesFixture fixture;
    fixture.close({home, elsewhere});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("in closed zones");
    cr_assert(fixture.received.starts_with("HTTP/1.1 503"));
    cr_assert(fixture.received.find("Retry-After: 1.000") != std::string::npos);
    cr_assert_eq(requestCount(fixture), 0);
    fixture.passThrough().serversChanged({});
    fixture.request("/once/", "r2");
    fixture.awaitResponse("no available server");
}

/// Guards against a retry in a closed zone, and against an answer "not run" after an attempt.
Test(closedzones, aRequestIsNotRetriedInAClosedZone)
{
    ZonesFixture fixture;
    fixture.close({elsewhere});
    fixture.first.add({{""}, true});
    fixture.second.add({{okResponse}});
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against a broken stream that goes on in a closed zone.
Test(closedzones, aStreamIsNotResumedInAClosedZone)
{
    ZonesFixture fixture;
    fixture.close({elsewhere});
    fixture.first.add({{streamHead + chunk(event(1))}, true});
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}});
    fixture.request("/resumable/", "r1");
    fixture.awaitClose();
    cr_assert(fixture.received.find("data: d1") != std::string::npos);
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against a closure that cuts off what is already running.
Test(closedzones, aRunningStreamEndsByItself)
{
    ZonesFixture fixture;
    fixture.first.add({{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n"}});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse("data: d1");
    fixture.close({home});
    fixture.first.sendNext("r1");
    fixture.awaitResponse("data: d2");
    fixture.awaitResponse("0\r\n\r\n");
}

/// Guards against a request that is sent after the wait for its permit, although the zone was
/// closed meanwhile.
Test(closedzones, aPermitFromBeforeTheClosureIsReturned)
{
    for (const Base::Duration wait : {Base::Duration::zero(), Base::Duration(30'000)}) {
        ZonesFixture fixture;
        LimitControls::PermitCallback atFirst;
        fixture.limitServers([&](const auto &instance, auto callback) {
            if (isFirst(instance)) {
                atFirst = std::move(callback);
            } else {
                callback({});
            }
        });
        fixture.second.add({{okResponse}});
        fixture.request("/once/", "r1");
        fixture.runUntil([&] { return atFirst != nullptr; }, "a request for a permit");
        Admission::PermitVerdict verdict;
        verdict.wait = wait;
        if (wait > Base::Duration::zero()) {
            atFirst(verdict);
            fixture.close({home});
        } else {
            fixture.close({home});
            atFirst(verdict);
        }
        fixture.awaitResponse("hello");
        cr_assert_eq(fixture.first.requests().size(), 0);
        cr_assert_eq(fixture.returnedPermits, 1);
    }
}

/// Guards against a request that is sent because its connection was begun before the closure.
Test(closedzones, aConnectionFromBeforeTheClosureIsNotUsed)
{
    ZonesFixture fixture;
    fixture.limitServers([&](const auto &instance, const auto &callback) {
        callback({});
        if (isFirst(instance)) {
            fixture.close({home});
        }
    });
    fixture.second.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.first.requests().size(), 0);
    cr_assert_eq(fixture.second.requests().size(), 1);
}
