#include <dispatch/requestplacer.h>
#include <dispatch/serverdirectory.h>

#include <criterion/criterion.h>

#include <map>

using namespace Dispatch;

namespace {

const Base::ServiceId service("engine");
const Base::ZoneId here("zone-a");
const Base::ZoneId there("zone-b");

Base::Instant at(std::int64_t milliseconds)
{
    return Base::Instant(std::chrono::milliseconds(milliseconds));
}

ListedServer server(const std::string &id,
                    const Base::ZoneId &zone = here,
                    std::uint64_t startedAt = 1)
{
    ListedServer listed;
    listed.server.id = Base::ServerId(id);
    listed.server.service = service;
    listed.server.address = "10.0.0." + std::to_string(id.back()) + ":80";
    listed.server.zone = zone;
    listed.server.slots = 4;
    listed.startedAt = startedAt;
    return listed;
}

PlacementSettings withoutJitter()
{
    PlacementSettings settings;
    settings.jitter = 0;
    return settings;
}

std::string chosen(RequestPlacer &placer,
                   const std::vector<PromptPart> &prompt = {},
                   std::int64_t now = 0)
{
    const auto placement = placer.choose(service, prompt, {}, at(now));
    return placement ? placement->instance.id.text() : std::string("none");
}

std::vector<std::string> names(const ServerDirectory &directory)
{
    std::vector<std::string> result;
    for (const ListedServer &each : directory.servers()) {
        result.push_back(each.server.id.text());
    }
    return result;
}

using Names = std::vector<std::string>;

} // namespace

Test(requestplacer, spreadsOverTheLeastLoaded)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1"), server("s2"), server("s3")});
    std::map<std::string, int> counts;
    for (int i = 0; i < 9; ++i) {
        const auto placement = placer.choose(service, {}, {}, at(0));
        placer.sent(placement->instance, {});
        ++counts[placement->instance.id.text()];
    }
    for (const auto &[id, count] : counts) {
        cr_assert_eq(count, 3, "%s got %d", id.c_str(), count);
    }
}

Test(requestplacer, leavesOutLeavingAndExcludedServers)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    ListedServer leaving = server("s1");
    leaving.server.isLeaving = true;
    placer.serversChanged({leaving, server("s2")});
    cr_assert_eq(chosen(placer), "s2");
    cr_assert(!placer.choose(service, {}, {Base::ServerId("s2")}, at(0)));
}

Test(requestplacer, prefersTheServerThatHasReadThePrompt)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1"), server("s2")});
    const std::vector<PromptPart> prompt{{1, Base::Tokens(12600)}, {2, Base::Tokens(1680)}};
    placer.sent({Base::ServerId("s2"), 1}, prompt);
    placer.ended({Base::ServerId("s2"), 1});
    cr_assert_eq(chosen(placer, prompt), "s2");
    cr_assert_eq(placer.choose(service, prompt, {}, at(0))->cachedTokens.value(), 14280);
    // 43 ms to read the prompt are worth less than eight requests that run beside.
    for (int i = 0; i < 8; ++i) {
        placer.sent({Base::ServerId("s2"), 1}, {});
    }
    cr_assert_eq(chosen(placer, prompt), "s1");
}

Test(requestplacer, countsTheLoadThatOthersCause)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1"), server("s2")});
    placer.loadReported({Base::ServerId("s1"), 1}, 4, 3, at(0));
    cr_assert_eq(chosen(placer, {}, 10), "s2");
    placer.sent({Base::ServerId("s2"), 1}, {});
    cr_assert_eq(chosen(placer, {}, 5000), "s1", "an old report no longer counts");
}

Test(requestplacer, avoidsAServerThatHasTurnedSlow)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1"), server("s2")});
    for (int i = 0; i < 30; ++i) {
        placer.answered({Base::ServerId("s1"), 1}, std::chrono::milliseconds(200));
        placer.answered({Base::ServerId("s2"), 1}, std::chrono::milliseconds(40));
    }
    placer.sent({Base::ServerId("s2"), 1}, {});
    cr_assert_eq(chosen(placer), "s2");
}

Test(requestplacer, passesOverAServerThatFailsAndTriesItAgain)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1"), server("s2", there)});
    for (int i = 0; i < 3; ++i) {
        placer.failed({Base::ServerId("s1"), 1}, at(0));
    }
    cr_assert_eq(chosen(placer, {}, 100), "s2");
    cr_assert_eq(chosen(placer, {}, 600), "s1");
    placer.serversChanged({server("s1")});
    for (int i = 0; i < 3; ++i) {
        placer.failed({Base::ServerId("s1"), 1}, at(600));
    }
    cr_assert_eq(chosen(placer, {}, 700), "s1", "the only server is better than none");
}

Test(requestplacer, aRestartedServerHoldsNothing)
{
    RequestPlacer placer(here, withoutJitter(), 1);
    placer.serversChanged({server("s1")});
    const ServerInstance old{Base::ServerId("s1"), 1};
    const std::vector<PromptPart> prompt{{1, Base::Tokens(100)}};
    placer.sent(old, prompt);
    placer.serversChanged({server("s1", here, 2)});
    const auto placement = placer.choose(service, prompt, {}, at(0));
    cr_assert_eq(placement->cachedTokens.value(), 0);
    cr_assert_eq(placement->load, 0);
    placer.ended(old);
    cr_assert(!placer.isListed(old));
}

Test(serverdirectory, dropsAServerAsSoonAsItIsNotListed)
{
    ServerDirectory directory(std::chrono::milliseconds(2300));
    directory.listed({server("s1"), server("s2")}, at(0));
    cr_assert(directory.listed({server("s2")}, at(900)));
    cr_assert_eq(names(directory), Names({"s2"}));
}

Test(serverdirectory, keepsEntriesThatLapsedWhileTheStoreWasAway)
{
    ServerDirectory directory(std::chrono::milliseconds(2300));
    directory.listed({server("s1"), server("s2")}, at(0));
    directory.storeLost(at(1000));
    directory.listed({}, at(5000));
    cr_assert_eq(names(directory), Names({"s1", "s2"}));
    directory.listed({server("s2")}, at(6000));
    cr_assert_eq(names(directory), Names({"s1", "s2"}));
    cr_assert_eq(*directory.nextExpiry(), at(7300));
    cr_assert(directory.expire(at(7300)));
    cr_assert_eq(names(directory), Names({"s2"}), "still missing: gone");
}

/// mix --seed 361196458375 on zanon-cembali: a daemon that hears the list from others saw no change
/// until 6 s after the store's return, and kept a server that had left then as one that lapsed.
Test(serverdirectory, theGraceBeginsWithTheReturnOfTheStore)
{
    ServerDirectory directory(std::chrono::milliseconds(2300));
    directory.listed({server("s1"), server("s2")}, at(0));
    directory.storeLost(at(1000));
    directory.confirmed(at(900), at(1100));
    directory.confirmed(at(5000), at(5100));
    cr_assert(directory.listed({server("s2")}, at(8000)));
    cr_assert_eq(names(directory), Names({"s2"}));
}

/// Word of a read from before the loss says nothing of the store's return.
Test(serverdirectory, wordFromBeforeTheLossEndsNoGrace)
{
    ServerDirectory directory(std::chrono::milliseconds(2300));
    directory.listed({server("s1"), server("s2")}, at(0));
    directory.storeLost(at(1000));
    directory.confirmed(at(900), at(1100));
    directory.listed({server("s2")}, at(8000));
    cr_assert_eq(names(directory), Names({"s1", "s2"}));
}

Test(serverdirectory, doesNotKeepWhatIsLeavingOrReplaced)
{
    ServerDirectory directory(std::chrono::milliseconds(2300));
    ListedServer leaving = server("s1");
    leaving.server.isLeaving = true;
    ListedServer replaced = server("s2");
    directory.listed({leaving, replaced}, at(0));
    directory.storeLost(at(1000));
    ListedServer other = server("s3");
    other.server.address = replaced.server.address;
    directory.listed({other}, at(5000));
    cr_assert_eq(names(directory), Names({"s3"}));
}
