#include "feedfixture.h"
#include "platformstore.h"

#include <platform/closurefeed.h>
#include <platform/feeds.h>
#include <platform/nodesettings.h>

#include <criterion/criterion.h>
#include <libs/loopback.h>
#include <proxy/steadyclock.h>

using namespace Adapter;
using nlohmann::json;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);

using Names = std::vector<std::string>;

/// The feeds of one daemon.
class Daemon
{
public:
    Daemon(asio::io_context &context,
           const asio::ip::tcp::endpoint &storeAddress,
           bool knowsClosures = true)
        : endpoint(freeEndpoint<asio::ip::tcp>())
        , store(context, storeAddress, silentLog(), metrics)
        , documents(context, endpoint, silentLog(), &Proxy::steadyNow)
        , closures(
              context,
              store,
              {.zones = {Base::ZoneId("a"), Base::ZoneId("b")}},
              [this] { return isReader; },
              silentLog(),
              [this](const auto &set, Revision revision) {
                  closedAtFirstList += listed.empty() ? set.size() : 0;
                  return zones.apply(set, revision, Proxy::steadyNow());
              })
        , servers(context,
                  store,
                  documents,
                  callbacks(knowsClosures),
                  &Proxy::steadyNow,
                  silentLog(),
                  [this](const auto &list) { listed = list; })
    {
        documents.start();
    }

    asio::ip::udp::endpoint peer() const { return {endpoint.address(), endpoint.port()}; }

    /// Handles the report that the other daemon sends with its messages.
    void hear(const Daemon &other)
    {
        if (const auto report = other.servers.report()) {
            servers.applyReport(other.peer(), *report);
        }
    }

    bool isClosed(const char *zone) const { return zones.isClosed(Base::ZoneId(zone)); }

    Telemetry::Metrics metrics;
    asio::ip::tcp::endpoint endpoint;
    ObjectStore store;
    Proxy::DocumentExchange documents;
    bool isReader = true;
    std::optional<asio::ip::udp::endpoint> seed;
    Dispatch::ZoneClosures zones;
    std::vector<Dispatch::ListedServer> listed;
    /// Zones that were known to be closed before the first list of servers.
    std::size_t closedAtFirstList = 0;
    ClosureFeed closures;
    ServerFeed servers;

private:
    ServerFeedCallbacks callbacks(bool knowsClosures)
    {
        ServerFeedCallbacks result;
        result.readerRank = [this] { return isReader ? Proxy::firstReader : Proxy::lastReader; };
        result.verifyConfiguration = [](const auto &done) { done(true); };
        result.onListRead = [](bool) {};
        result.onListFetched = [] {};
        result.selectPeer = [this] { return seed; };
        result.closures = knowsClosures ? &closures : nullptr;
        return result;
    }
};

class Fleet
{
public:
    Fleet()
        : platform(context)
    {
        platform.put("servers", "i-1", server());
    }

    std::unique_ptr<Daemon> daemon(bool isReader, bool knowsClosures = true)
    {
        auto result = std::make_unique<Daemon>(context, platform.endpoint(), knowsClosures);
        result->isReader = isReader;
        return result;
    }

    void runUntil(const std::function<bool()> &condition, const char *what)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out waiting for %s", what);
            context.run_one_for(std::chrono::milliseconds(20));
        }
    }

    /// Runs until the condition holds, while the second daemon gets the reports of the first one.
    void runUntilHeard(Daemon &from,
                       Daemon &to,
                       const std::function<bool()> &condition,
                       const char *what)
    {
        runUntil(
            [&] {
                to.hear(from);
                return condition();
            },
            what);
    }

    asio::io_context context;
    PlatformStore platform;
};

} // namespace

Test(closurefeed, isOnOnlyWithItsSetting)
{
    const std::string start = R"({"node_name": "n", "zone": "a", "ip": "10.0.0.1",
        "platform": {"address": "10.0.0.2:1"}, "bounds": {"grace_s": 8)";
    cr_assert(!parseNodeSettings(start + "}}").settings.closureBound);
    const auto on = parseNodeSettings(start + R"(, "evac_ms": 5000}})");
    cr_assert(on.settings.closureBound == Base::Duration(std::chrono::seconds(5)));
}

/// Guards against a zone that a daemon opens because it applied the servers first.
Test(closurefeed, readsClosuresBeforeTheFirstList)
{
    for (const bool mayBeStale : {false, true}) {
        Fleet fleet;
        fleet.platform.put("evacuations", "a", json::object());
        const auto daemon = fleet.daemon(true);
        daemon->servers.start(mayBeStale);
        fleet.runUntil([&] { return !daemon->listed.empty(); }, "the list");
        cr_assert_eq(daemon->closedAtFirstList, 1);
        cr_assert(daemon->isClosed("a"));
    }
}

/// Guards against a change that is lost with the store's history or an expired watch.
Test(closurefeed, followsClosuresAndOpenings)
{
    Fleet fleet;
    const auto daemon = fleet.daemon(true);
    daemon->servers.start(false);
    fleet.runUntil([&] { return !daemon->listed.empty(); }, "the list");
    fleet.platform.put("evacuations", "a", json::object());
    fleet.runUntil([&] { return daemon->isClosed("a"); }, "the closure");
    fleet.platform.put("evacuations", "a", json::object());
    fleet.platform.put("evacuations", "b", json::object());
    fleet.runUntil([&] { return daemon->isClosed("b"); }, "all zones closed");
    fleet.platform.compact();
    fleet.platform.erase("evacuations", "a");
    fleet.platform.erase("evacuations", "a");
    fleet.runUntil([&] { return !daemon->isClosed("a"); }, "the opening");
    cr_assert(daemon->isClosed("b"));
}

/// Guards against a daemon that does not hear of a change because it has a list of that revision,
/// and against closures that cost calls of each daemon.
Test(closurefeed, othersGetChangesFromTheReader)
{
    Fleet fleet;
    const auto reader = fleet.daemon(true);
    const auto other = fleet.daemon(false);
    reader->servers.start(false);
    other->servers.start(false);
    fleet.runUntil([&] { return !reader->listed.empty() && !other->listed.empty(); }, "lists");
    for (int i = 0; i < 3; ++i) {
        fleet.platform.put("evacuations", "a", json::object());
        fleet.runUntilHeard(
            *reader, *other, [&] { return other->isClosed("a"); }, "the closure");
        fleet.platform.erase("evacuations", "a");
        fleet.runUntilHeard(
            *reader, *other, [&] { return !other->isClosed("a"); }, "the opening");
    }
    cr_assert_eq(other->listed.size(), 1, "the item with the closures is no server");
}

/// Guards against an outage that reopens zones, and against daemons that serve without closures.
Test(closurefeed, aDaemonWithoutTheStoreUsesThoseOfItsPeers)
{
    Fleet fleet;
    fleet.platform.put("evacuations", "a", json::object());
    const auto first = fleet.daemon(true);
    first->servers.start(false);
    fleet.runUntil([&] { return !first->listed.empty(); }, "the list");
    fleet.platform.refuseWith(503);
    const auto alone = fleet.daemon(false);
    const auto second = fleet.daemon(false);
    second->seed = first->peer();
    alone->servers.start(false);
    second->servers.start(false);
    fleet.runUntil([&] { return !second->listed.empty(); }, "the list of a peer");
    cr_assert_eq(second->closedAtFirstList, 1);
    fleet.runUntil([&] { return !first->store.isReachable(); }, "an outage");
    cr_assert(first->isClosed("a"));
    cr_assert(alone->listed.empty());
    cr_assert(!alone->closures.isKnown());
}

/// Guards against a daemon that loses its closures, or hears of no more, while the previous build
/// reads the list.
Test(closurefeed, aDocumentWithoutClosuresLeavesThemAndLeadsToAWatch)
{
    Fleet fleet;
    fleet.platform.put("evacuations", "a", json::object());
    const auto previous = fleet.daemon(true, false);
    const auto daemon = fleet.daemon(false);
    daemon->servers.start(false);
    fleet.runUntil([&] { return !daemon->listed.empty(); }, "the list");
    fleet.platform.put("servers", "i-2", server());
    previous->servers.start(false);
    fleet.runUntilHeard(
        *previous, *daemon, [&] { return daemon->listed.size() == 2; }, "the other build's list");
    cr_assert(daemon->isClosed("a"));
    fleet.platform.put("evacuations", "b", json::object());
    fleet.runUntilHeard(
        *previous, *daemon, [&] { return daemon->isClosed("b"); }, "a closure of its own watch");
}

/// Guards against a server list that the previous build rejects because of the additional item.
Test(closurefeed, thePreviousBuildIgnoresTheClosures)
{
    Fleet fleet;
    fleet.platform.put("evacuations", "a", json::object());
    const auto reader = fleet.daemon(true);
    reader->servers.start(false);
    fleet.runUntil([&] { return !reader->listed.empty(); }, "the list");
    fleet.platform.refuseWith(503);
    const auto previous = fleet.daemon(false, false);
    previous->seed = reader->peer();
    previous->servers.start(false);
    fleet.runUntil([&] { return !previous->listed.empty(); }, "the list of a peer");
    cr_assert_eq(previous->listed.size(), 1);
}

/// Guards against an object that an operator wrote by mistake and that stops the feed, or that
/// closes nothing although it names a zone.
Test(closurefeed, unusualObjectsHaveADefinedEffect)
{
    Fleet fleet;
    fleet.platform.put("evacuations", "a", "text");
    fleet.platform.put("evacuations", "unknown", json::object());
    fleet.platform.put("evacuations", std::string(300, 'x'), json::object());
    const auto daemon = fleet.daemon(true);
    daemon->servers.start(false);
    fleet.runUntil([&] { return !daemon->listed.empty(); }, "the list");
    cr_assert(daemon->isClosed("a"), "the object closes the zone, whatever its spec is");
    cr_assert(daemon->isClosed("unknown"), "servers may be listed there later");
    cr_assert_eq(daemon->zones.closedCount(), 2);
    for (const json &useless : {json(5), json::object(), json{{"as_of", "x"}}}) {
        cr_assert(!daemon->closures.applyDocument(useless));
    }
    cr_assert_eq(daemon->zones.closedCount(), 2);
    const json emptyName = json::parse(R"({"as_of": 1000000, "closed_zones": {"": 1, "a": "x"}})");
    cr_assert(daemon->closures.applyDocument(emptyName));
    cr_assert_eq(daemon->zones.closedCount(), 1);
    cr_assert(daemon->isClosed("a"));
}
