#include "platformstore.h"

#include <platform/allocationwriter.h>
#include <platform/daemondirectory.h>
#include <platform/feeds.h>
#include <platform/storenode.h>

#include <criterion/criterion.h>
#include <proxy/steadyclock.h>

using namespace Adapter;
using nlohmann::json;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);

json routing(int version)
{
    return {{"version", version}, {"routes", json::array()}, {"services", json::array()}};
}

json server(const std::string &state)
{
    return {{"service", "s"},
            {"address", "10.0.0.9:80"},
            {"zone", "a"},
            {"slots", 4},
            {"version", "v1"},
            {"state", state}};
}

/// Feeds of a daemon that uses a fake of the store, on one event loop.
class Fixture
{
public:
    Fixture()
        : platform(context)
        , store(context, platform.endpoint(), log(), metrics)
        , documents(context, freeEndpoint(), log(), &Proxy::steadyNow)
        , configuration(
              context,
              store,
              documents,
              [this] { return isReader; },
              log(),
              [this](const Contracts::RoutingDocument &document, DocumentSource) {
                  versions.push_back(document.version.value());
              })
        , servers(context,
                  store,
                  documents,
                  callbacks(),
                  &Proxy::steadyNow,
                  log(),
                  [this](const auto &list) { listed = list; })
    {}

    void runUntil(const std::function<bool()> &condition, const char *what)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end, "timed out waiting for %s", what);
            context.run_one_for(std::chrono::milliseconds(20));
        }
    }

    ServerFeedCallbacks callbacks()
    {
        ServerFeedCallbacks result;
        result.readerRank = [this] { return isReader ? Proxy::firstReader : Proxy::lastReader; };
        result.verifyConfiguration
            = [this](auto done) { configuration.verifyCurrent(std::move(done)); };
        result.onListRead = [this](bool) { ++listReads; };
        result.onListFetched = [] {};
        result.selectPeer = [] { return std::optional<asio::ip::udp::endpoint>(); };
        return result;
    }

    void waitForVersion(std::uint64_t version)
    {
        runUntil([&] { return !versions.empty() && versions.back() == version; }, "the version");
    }

    Programs::GroupOutcome write(const Programs::WriteGroup &group)
    {
        std::optional<Programs::GroupOutcome> outcome;
        allocationWriter(store, log())(group, [&](const auto &each) { outcome = each; });
        runUntil([&] { return outcome.has_value(); }, "an outcome");
        return *outcome;
    }

    static Telemetry::Log &log()
    {
        static Telemetry::Log silent(
            {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
        return silent;
    }

    asio::io_context context;
    Telemetry::Metrics metrics;
    PlatformStore platform;
    ObjectStore store;
    Proxy::DocumentExchange documents;
    bool isReader = true;
    int listReads = 0;
    std::vector<std::uint64_t> versions;
    std::vector<Dispatch::ListedServer> listed;
    ConfigurationFeed configuration;
    ServerFeed servers;

private:
    static asio::ip::tcp::endpoint freeEndpoint() { return {asio::ip::address_v4::loopback(), 0}; }
};

/// Group of one program whose id is not valid UTF-8.
Programs::WriteGroup group(std::uint64_t expected, std::int64_t total, const char *writeId)
{
    const Programs::StoredAllocations allocations{
        Programs::AllocationVersion(4), Base::Tokens(total), Base::WriteId(writeId)};
    return {Programs::AllocationGroup(3),
            Programs::GroupVersion(expected),
            {{Base::ProgramId("p/\xff"), {allocations, std::chrono::seconds(60)}}}};
}

} // namespace

Test(feeds, followsTheConfiguration)
{
    Fixture fixture;
    fixture.platform.put("config", "main", routing(3));
    fixture.configuration.start(false);
    fixture.waitForVersion(3);
    fixture.platform.put("config", "main", routing(8));
    fixture.waitForVersion(8);
    fixture.platform.compact();
    fixture.platform.put("config", "main", routing(9));
    fixture.waitForVersion(9);
}

Test(feeds, ignoresAnOlderConfiguration)
{
    Fixture fixture;
    fixture.platform.put("config", "main", routing(8));
    fixture.configuration.start(false);
    fixture.waitForVersion(8);
    fixture.platform.put("config", "main", routing(7));
    fixture.platform.put("config", "main", {{"version", "text"}});
    fixture.platform.put("config", "main", routing(9));
    fixture.waitForVersion(9);
    cr_assert_eq(fixture.versions.size(), 2);
}

Test(feeds, retriesUntilAConfigurationExists)
{
    Fixture fixture;
    fixture.configuration.start(false);
    fixture.runUntil([&] { return fixture.platform.calls() >= 2; }, "a second read");
    fixture.platform.put("config", "main", routing(1));
    fixture.waitForVersion(1);
}

Test(feeds, readsTheServersOverSeveralPages)
{
    Fixture fixture;
    fixture.platform.setPageSize(2);
    for (const char *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
        fixture.platform.put("servers", name, server("ready"));
    }
    fixture.platform.put("servers", "i-6", {{"service", 5}});
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.listed.size() == 5; }, "five servers");
    fixture.platform.put("servers", "i-3", server("draining"));
    fixture.platform.erase("servers", "i-1");
    fixture.runUntil([&] { return fixture.listed.size() == 4; }, "four servers");
    cr_assert(fixture.listed.at(1).server.isLeaving);
}

Test(feeds, keepsItsServersWhileTheStoreIsUnavailable)
{
    Fixture fixture;
    fixture.platform.put("servers", "i-1", server("ready"));
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.listed.size() == 1; }, "a server");
    fixture.platform.refuseWith(503);
    fixture.runUntil([&] { return !fixture.store.isReachable(); }, "the store to be unavailable");
    fixture.platform.refuseWith(0);
    fixture.platform.erase("servers", "i-1");
    fixture.runUntil([&] { return fixture.store.isReachable(); },
                     "the store to be available again");
    cr_assert_eq(fixture.listed.size(), 1, "an expired entry may be renewed");
    fixture.runUntil([&] { return fixture.listed.empty(); },
                     "removal of an entry that is not renewed");
}

/// Guards against a list that is published, and fetched by all daemons, at each read while a server
/// is cold.
Test(feeds, theCountdownOfAColdServerIsNoNews)
{
    Fixture fixture;
    json entry = server("ready");
    entry["cold_left_ms"] = 3000;
    fixture.platform.put("servers", "i-1", entry);
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.listed.size() == 1; }, "a server");
    fixture.listed.clear();
    entry["cold_left_ms"] = 2000;
    fixture.platform.put("servers", "i-1", entry);
    const int reads = fixture.listReads;
    fixture.runUntil([&] { return fixture.listReads >= reads + 2; }, "a read of the new entry");
    cr_assert(fixture.listed.empty());
    entry["cold_left_ms"] = 2500;
    fixture.platform.put("servers", "i-1", entry);
    fixture.runUntil([&] { return fixture.listed.size() == 1; }, "the server that is cold again");
    cr_assert_eq(*fixture.listed.front().coldLeft, std::chrono::milliseconds(2500));
}

/// A daemon that gets no reports from readers reads both documents itself.
Test(feeds, readsTheStoreWithoutReportsOfReaders)
{
    Fixture fixture;
    fixture.isReader = false;
    fixture.platform.put("config", "main", routing(3));
    fixture.platform.put("servers", "i-1", server("ready"));
    fixture.configuration.start(false);
    fixture.servers.start(false);
    fixture.waitForVersion(3);
    fixture.runUntil([&] { return fixture.listed.size() == 1; }, "a server");
    fixture.platform.put("config", "main", routing(5));
    fixture.platform.put("servers", "i-2", server("ready"));
    fixture.waitForVersion(5);
    fixture.runUntil([&] { return fixture.listed.size() == 2; }, "the new server");
}

/// A daemon must not read the store while the readers' reports confirm its list. When each of 65
/// daemons read the list and watched the configuration, the calls cost a tenth of the total value
/// of the scenario quiet-1 of the enlarged wattlebird-prod.
Test(feeds, doesNotReadTheStoreWhileReadersConfirm)
{
    Fixture fixture;
    fixture.isReader = false;
    fixture.platform.put("config", "main", routing(3));
    fixture.platform.put("servers", "i-1", server("ready"));
    fixture.configuration.start(false);
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.listReads > 0; }, "the first read");
    const int before = fixture.platform.calls();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    fixture.runUntil(
        [&] {
            Proxy::ListReport report = *fixture.servers.report();
            report.age = Base::Duration::zero();
            report.confirmedAt += 1;
            fixture.servers.applyReport({}, report);
            return std::chrono::steady_clock::now() >= end;
        },
        "three seconds");
    cr_assert_eq(fixture.platform.calls(), before);
    fixture.runUntil([&] { return fixture.platform.calls() > before; }, "a read without reports");
}

/// Guards against a daemon that reads the list for all others after a read of its own, and against
/// a result that is older than the request.
Test(feeds, anExtraReadLeavesTheScheduleAlone)
{
    Fixture fixture;
    fixture.isReader = false;
    fixture.platform.put("servers", "i-1", server("ready"));
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.listReads > 0; }, "the first read");
    const auto read = [&fixture] {
        std::optional<std::size_t> size;
        bool isDone = false;
        fixture.servers.readNow([&](const auto *servers) {
            isDone = true;
            size = servers ? std::optional(servers->size()) : std::nullopt;
        });
        fixture.runUntil([&] { return isDone; }, "the read");
        return size;
    };
    const int calls = fixture.platform.currentCalls();
    const Proxy::ListReport report = *fixture.servers.report();
    cr_assert(read() == 1);
    cr_assert_eq(fixture.platform.currentCalls(), calls + 1);
    cr_assert(!fixture.servers.isActingReader());
    cr_assert_eq(fixture.servers.report()->reads, report.reads);
    fixture.platform.put("servers", "i-2", server("ready"));
    cr_assert(read() == 2);
    cr_assert_eq(fixture.listed.size(), 2, "the news is applied before the result is used");
    fixture.platform.refuseWith(503);
    cr_assert(!read());
    cr_assert(!fixture.store.isReachable());
    const int refused = fixture.platform.calls();
    bool isRefusedAtOnce = false;
    fixture.servers.readNow([&](const auto *servers) { isRefusedAtOnce = !servers; });
    cr_assert(isRefusedAtOnce);
    cr_assert_eq(fixture.platform.calls(), refused);
}

/// Guards against the herd at the start of a fleet: 3,361 calls by 259 daemons before the first
/// request, 13 each.
Test(feeds, aDaemonOfAFleetThatStartsReadsCheaply)
{
    Fixture fixture;
    fixture.isReader = false;
    fixture.platform.put("servers", "i-1", server("ready"));
    DaemonDirectory directory(fixture.context,
                              fixture.store,
                              {Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")},
                              Fixture::log(),
                              [](const auto &) {});
    directory.start(true);
    fixture.configuration.start(true);
    fixture.servers.start(true);
    fixture.runUntil([&] { return fixture.platform.calls() >= 6; }, "reads without a result");
    fixture.platform.put("config", "main", routing(3));
    fixture.waitForVersion(3);
    cr_assert_eq(fixture.listed.size(), 1);
    cr_assert(directory.isRead());
    cr_assert_eq(fixture.platform.currentCalls(), 1, "the registration only");
    fixture.platform.put("servers", "i-2", server("ready"));
    fixture.runUntil([&] { return fixture.listed.size() == 2; },
                     "a read of its own, as no reader confirms the list");
}

Test(allocationwriter, writesOnlyOnTheExpectedRevision)
{
    Fixture fixture;
    const auto created = fixture.write(group(0, 100, "w1"));
    const auto version = std::get<Programs::GroupWritten>(created).version;
    const Programs::WriteGroup second = group(version.value(), 200, "w2");
    cr_assert(std::holds_alternative<Programs::GroupWritten>(fixture.write(second)));
    const auto conflict
        = std::get<Programs::GroupConflict>(fixture.write(group(version.value(), 300, "w3")));
    cr_assert(conflict.entries == second.entries);
}

/// A write without the entry that cannot be decoded would release its program's tokens.
Test(allocationwriter, doesNotReplaceAnObjectItCannotDecode)
{
    Fixture fixture;
    fixture.platform.put("token-claims", "group-3", {{"programs", {{"70", {1, "many", "w", 5}}}}});
    cr_assert(
        std::holds_alternative<Programs::GroupUnanswered>(fixture.write(group(0, 100, "w1"))));
}

/// Guards against tokens that become negative, and times that overflow, when they are read.
Test(allocationwriter, doesNotReplaceAnObjectWithNumbersOutOfRange)
{
    for (const char *entry : {R"([1, 9223372036854775808, "w", 5])",
                              R"([1, 5, "w", 18446744073709551615])",
                              R"([1, 5, "w", 9223372036854776])",
                              R"([1, 1e300, "w", 5])",
                              R"([1, 1e999, "w", 5])"}) {
        Fixture fixture;
        fixture.platform.putText(
            "token-claims", "group-3", R"({"programs": {"70": )" + std::string(entry) + "}}");
        cr_assert(
            std::holds_alternative<Programs::GroupUnanswered>(fixture.write(group(0, 100, "w1"))),
            "%s",
            entry);
    }
}

Test(allocationwriter, recognizesItsOwnWriteAfterALostResponse)
{
    Fixture fixture;
    fixture.platform.dropNextResponse();
    const Programs::WriteGroup first = group(0, 100, "w1");
    cr_assert(std::holds_alternative<Programs::GroupUnanswered>(fixture.write(first)));
    cr_assert(!fixture.store.isReachable());
    cr_assert(std::holds_alternative<Programs::GroupUnanswered>(fixture.write(first)),
              "no call to a store that is known to be unavailable");
    cr_assert_eq(fixture.platform.calls(), 1);
    fixture.servers.start(false);
    fixture.runUntil([&] { return fixture.store.isReachable(); },
                     "a reader to reach the store again");
    const auto conflict = std::get<Programs::GroupConflict>(fixture.write(first));
    cr_assert(conflict.entries == first.entries);
}

Test(daemondirectory, registersItselfAndListsOthers)
{
    Fixture fixture;
    fixture.platform.put("daemons", "b", {{"address", "10.0.0.2:7"}, {"zone", "z"}});
    fixture.platform.put("daemons", "c", 5);
    std::vector<ListedDaemon> found;
    DaemonDirectory directory(fixture.context,
                              fixture.store,
                              {Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")},
                              Fixture::log(),
                              [&](const auto &daemons) { found = daemons; });
    directory.start(false);
    fixture.runUntil([&] { return found.size() == 2; }, "both daemons");
    cr_assert_eq(fixture.platform.spec("daemons", "a")["address"], "10.0.0.1:7");
}

Test(daemondirectory, tellsDaemonsThatKeepTurnsFromOthers)
{
    Fixture fixture;
    fixture.platform.put(
        "daemons", "b", {{"address", "10.0.0.2:7"}, {"zone", "z"}, {"role", "turn-store"}});
    DaemonDirectory directory(
        fixture.context,
        fixture.store,
        {Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z"), DaemonRole::TurnStore},
        Fixture::log(),
        [](const auto &) {});
    std::optional<bool> isFirst;
    directory.onRegistration([&](bool first) { isFirst = first; });
    directory.start(false);
    fixture.runUntil([&] { return directory.daemons().size() == 2; }, "both daemons");
    cr_assert(isFirst == true);
    cr_assert_eq(turnHolders(directory.daemons()).size(), 2);
    cr_assert_eq(fixture.platform.spec("daemons", "a")["role"], "turn-store");
    std::optional<bool> isRemoved;
    directory.unregister(Base::VmId("b"), [&](bool removed) { isRemoved = removed; });
    fixture.runUntil([&] { return isRemoved.has_value(); }, "the removal");
    cr_assert(fixture.platform.spec("daemons", "b").is_null());
}

/// A daemon that the store rejects after its start learns the others from them.
Test(daemondirectory, usesTheListOfAnotherDaemonUntilItCanReadItsOwn)
{
    Fixture fixture;
    fixture.platform.put("daemons", "b", {{"address", "10.0.0.2:7"}, {"zone", "z"}});
    const ListedDaemon self{Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")};
    DaemonDirectory first(
        fixture.context, fixture.store, self, Fixture::log(), [](const auto &) {});
    cr_assert(!first.document());
    first.start(false);
    fixture.runUntil([&] { return first.isRead(); }, "the list");
    fixture.platform.refuseWith(503);
    DaemonDirectory second(
        fixture.context, fixture.store, self, Fixture::log(), [](const auto &) {});
    second.start(false);
    for (const char *useless : {"", "5", "[]", "{\"c\": 5}"}) {
        second.applyDocument(useless);
        cr_assert_leq(second.daemons().size(), 1);
    }
    second.applyDocument(first.document()->body);
    cr_assert(second.daemons() == first.daemons());
    cr_assert(!second.isRead());
    fixture.platform.refuseWith(0);
    fixture.platform.put("daemons", "c", {{"address", "10.0.0.3:7"}, {"zone", "z"}});
    fixture.runUntil([&] { return second.daemons().size() == 3; }, "the store's list");
    second.applyDocument("{}");
    cr_assert_eq(second.daemons().size(), 3);
}

/// At the target of 340 daemons, each reads less than the 8 KB/s that all its control may take.
Test(daemondirectory, readsTheListLessOftenInALargeFleet)
{
    constexpr double bytesPerDaemon = 120;
    for (const std::size_t daemons : {10U, 75U, 340U, 1000U}) {
        const double seconds = Base::toSeconds(daemonListInterval(daemons));
        cr_assert_leq(static_cast<double>(daemons) * bytesPerDaemon / seconds, 8000);
        cr_assert_geq(seconds, 2);
    }
}

/// Guards against a new daemon that is not known until the next read.
Test(daemondirectory, readsTheListOnceADaemonIsHeardThatItLacks)
{
    constexpr int fleet = 600; // its interval is longer than the guard time
    Fixture fixture;
    for (int i = 0; i < fleet; ++i) {
        fixture.platform.put(
            "daemons", "d" + std::to_string(i), {{"address", "10.0.0.2:7"}, {"zone", "z"}});
    }
    DaemonDirectory directory(fixture.context,
                              fixture.store,
                              {Base::VmId("d0"), "10.0.0.2:7", Base::ZoneId("z")},
                              Fixture::log(),
                              [](const auto &) {});
    directory.start(false);
    fixture.runUntil([&] { return directory.daemons().size() == fleet; }, "the fleet");
    const int before = fixture.platform.calls();
    fixture.runUntil([&] { return fixture.platform.calls() > before + 1; },
                     "the read after a change, of two pages");
    fixture.platform.put("daemons", "new", {{"address", "10.0.0.3:7"}, {"zone", "z"}});
    directory.expectNewDaemon();
    fixture.runUntil([&] { return directory.daemons().size() == fleet + 1; }, "the new daemon");
}

Test(daemondirectory, knowsThatItWasRegisteredBefore)
{
    Fixture fixture;
    fixture.platform.put("daemons", "a", {{"address", "10.0.0.1:7"}, {"zone", "z"}});
    DaemonDirectory directory(fixture.context,
                              fixture.store,
                              {Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")},
                              Fixture::log(),
                              [](const auto &) {});
    std::optional<bool> isFirst;
    directory.onRegistration([&](bool first) { isFirst = first; });
    directory.start(false);
    fixture.runUntil([&] { return isFirst.has_value(); }, "the registration");
    cr_assert(isFirst == false);
}

/// The disk is removed as soon as the retirement is completed, so what it holds comes first.
Test(retirementfeed, completesItsOwnRetirementOnceAllIsHandedOver)
{
    Fixture fixture;
    fixture.platform.put("retirements", "other", {{"duration_s", 10}});
    std::function<void()> onHandedOver;
    RetirementFeed feed(
        fixture.context, fixture.store, Base::VmId("mine"), Fixture::log(), [&](auto done) {
            onHandedOver = done;
        });
    feed.start();
    fixture.runUntil([&] { return fixture.platform.calls() >= 2; }, "a watch");
    fixture.platform.put("retirements", "mine", {{"duration_s", 10}});
    fixture.runUntil([&] { return !fixture.platform.status("retirements", "mine").is_null(); },
                     "a status");
    cr_assert_eq(fixture.platform.status("retirements", "mine")["state"], "running");
    fixture.platform.dropNextResponse();
    onHandedOver();
    fixture.runUntil(
        [&] { return fixture.platform.status("retirements", "mine")["state"] == "completed"; },
        "the completion");
    cr_assert(fixture.platform.status("retirements", "other").is_null());
}
