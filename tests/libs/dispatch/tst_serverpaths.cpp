#include <dispatch/serverpaths.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

const ServerInstance first{Base::ServerId("engine-1"), 1700};
const ServerInstance second{Base::ServerId("engine-2"), 1700};
const ServerInstance third{Base::ServerId("engine-3"), 1700};

} // namespace

Test(serverpaths, aServerThatOthersReachIsReachedThroughThem)
{
    ServerPaths paths;
    cr_assert(paths.choose(first) == ServerPath::Direct);
    cr_assert(paths.relaySucceeded(first, at(1000)));
    cr_assert(!paths.relaySucceeded(first, at(1010)), "no news");
    cr_assert(paths.choose(first) == ServerPath::Relay);
    cr_assert(paths.choose(second) == ServerPath::Direct);
    cr_assert(paths.directSucceeded(first));
    cr_assert(paths.choose(first) == ServerPath::Direct);
}

/// Guards against a daemon that tries server after server although it reaches none.
Test(serverpaths, aSilentDaemonThatReachesTwoServersThroughOthersIsCutOff)
{
    ServerPaths paths;
    paths.sent(at(1000));
    paths.relaySucceeded(first, at(1400));
    cr_assert(!paths.isCutOff());
    paths.relaySucceeded(second, at(1400));
    cr_assert(paths.isCutOff());
    cr_assert(paths.choose(third) == ServerPath::Relay);
    cr_assert(paths.directSucceeded(first), "the path is back");
    cr_assert(!paths.isCutOff());
    cr_assert(paths.choose(third) == ServerPath::Direct);
}

Test(serverpaths, aDaemonThatReceivesFromOtherServersIsNotCutOff)
{
    ServerPaths paths;
    paths.sent(at(1000));
    paths.received();
    paths.relaySucceeded(first, at(1400));
    paths.relaySucceeded(second, at(1400));
    cr_assert(!paths.isCutOff());
    cr_assert(paths.choose(second) == ServerPath::Relay);
    cr_assert(paths.choose(third) == ServerPath::Direct);
}

Test(serverpaths, silenceCountsFromTheFirstRequestWithoutAByte)
{
    ServerPaths paths;
    cr_assert(!paths.isSilent(at(5000)), "nothing was sent");
    paths.sent(at(5000));
    paths.sent(at(5250));
    cr_assert(!paths.isSilent(at(5299)));
    cr_assert(paths.isSilent(at(5300)));
    paths.received();
    cr_assert(!paths.isSilent(at(9000)));
}

Test(serverpaths, directAttemptsAreMadeOnceASecond)
{
    ServerPaths paths;
    cr_assert(!paths.takeProbe(at(0)));
    paths.sent(at(500));
    paths.relaySucceeded(first, at(1000));
    paths.relaySucceeded(second, at(1000));
    cr_assert(paths.isCutOff());
    int probes = 0;
    for (std::int64_t now = 1000; now < 11000; now += 10) {
        probes += paths.takeProbe(at(now)) ? 1 : 0;
    }
    cr_assert_eq(probes, 9, "one server stands for all");
}

Test(serverpaths, aServerThatNobodyReachesIsNotTriedThroughOthers)
{
    ServerPaths paths;
    cr_assert(paths.mayRelay(first, at(1000)));
    paths.relayFailed(first, at(1000));
    cr_assert(!paths.mayRelay(first, at(1999)));
    cr_assert(paths.mayRelay(second, at(1999)));
    cr_assert(paths.mayRelay(first, at(2000)));
}

Test(serverpaths, serversThatAreNotListedAreForgotten)
{
    ServerPaths paths;
    paths.sent(at(500));
    paths.relaySucceeded(first, at(1000));
    paths.relaySucceeded(second, at(1000));
    paths.retain([](const ServerInstance &) { return false; });
    cr_assert(!paths.isCutOff());
    cr_assert_eq(paths.relayedServers(), 0U);
}
