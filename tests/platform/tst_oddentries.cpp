#include "feedfixture.h"
#include "platformstore.h"

#include <platform/daemondirectory.h>
#include <platform/feeds.h>
#include <platform/foreignjson.h>

#include <criterion/criterion.h>
#include <libs/loopback.h>
#include <proxy/steadyclock.h>

#include <algorithm>

using namespace Adapter;
using nlohmann::json;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);

/// Copying or writing a value of this depth overflows the stack of a thread.
constexpr std::size_t excessiveDepth = 100'000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Text of a server's entry with this text as the value of one more or one other field.
std::string entryWith(const std::string &field, const std::string &value)
{
    json entry = server();
    entry[field] = "placeholder";
    std::string text = entry.dump();
    const std::string placeholder = "\"placeholder\"";
    text.replace(text.find(placeholder), placeholder.size(), value);
    return text;
}

/// The part of a daemon that follows the list of servers.
class Daemon
{
public:
    Daemon(asio::io_context &context,
           const PlatformStore &platform,
           const std::optional<asio::ip::tcp::endpoint> &peer = std::nullopt)
        : address(freeEndpoint<asio::ip::tcp>())
        , store(context, platform.endpoint(), silentLog(), metrics)
        , documents(context, address, silentLog(), &Proxy::steadyNow)
        , servers(context,
                  store,
                  documents,
                  callbacks(peer),
                  &Proxy::steadyNow,
                  silentLog(),
                  [this](const auto &list) { listed = list; })
    {
        documents.start();
        servers.start(false);
    }

    bool hasServers(const std::vector<std::string> &names) const
    {
        return std::equal(
            names.begin(), names.end(), listed.begin(), listed.end(), [](auto &name, auto &each) {
                return each.server.id == Base::ServerId(name);
            });
    }

    asio::ip::tcp::endpoint address;
    Telemetry::Metrics metrics;
    ObjectStore store;
    Proxy::DocumentExchange documents;
    std::vector<Dispatch::ListedServer> listed;
    ServerFeed servers;

private:
    static ServerFeedCallbacks callbacks(const std::optional<asio::ip::tcp::endpoint> &peer)
    {
        ServerFeedCallbacks result;
        result.readerRank = [] { return Proxy::firstReader; };
        result.verifyConfiguration = [](auto done) { done(true); };
        result.onListRead = [](bool) {};
        result.onListFetched = [] {};
        result.selectPeer = [peer] {
            return peer ? std::optional(asio::ip::udp::endpoint(peer->address(), peer->port()))
                        : std::nullopt;
        };
        return result;
    }
};

class Fixture
{
public:
    Fixture()
        : platform(context)
        , refusing(context)
    {
        refusing.refuseWith(503);
    }

    void runUntil(const std::function<bool()> &condition, const std::string &what)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(
                std::chrono::steady_clock::now() < end, "timed out waiting for %s", what.c_str());
            context.run_one_for(std::chrono::milliseconds(20));
        }
    }

    std::optional<Proxy::VersionedDocument> documentOf(Daemon &daemon)
    {
        std::optional<std::optional<Proxy::VersionedDocument>> result;
        daemon.documents.fetch({daemon.address.address(), daemon.address.port()},
                               "servers",
                               [&](auto document) { result = std::move(document); });
        runUntil([&] { return result.has_value(); }, "the document");
        return *result;
    }

    asio::io_context context;
    PlatformStore platform;
    /// A store that serves no call, as for a daemon that is cut off from it.
    PlatformStore refusing;
};

/// An entry that cannot be used costs no daemon the others: neither one that follows the list, nor
/// one that starts, nor one that gets the list from another.
void checkOthersHold(const std::string &odd)
{
    const std::string shown = odd.substr(0, 200);
    Fixture fixture;
    fixture.platform.put("servers", "i-1", server());
    fixture.platform.put("servers", "i-3", server());
    Daemon following(fixture.context, fixture.platform);
    fixture.runUntil([&] { return following.hasServers({"i-1", "i-3"}); }, "the servers");
    fixture.platform.putText("servers", "i-2", odd);
    fixture.platform.put("servers", "i-4", server());
    fixture.runUntil(
        [&] {
            return following.hasServers({"i-1", "i-3", "i-4"});
        },
        "the servers beside " + shown);
    Daemon starting(fixture.context, fixture.platform);
    fixture.runUntil(
        [&] {
            return starting.hasServers({"i-1", "i-3", "i-4"});
        },
        "a start beside " + shown);
    Daemon cutOff(fixture.context, fixture.refusing, starting.address);
    fixture.runUntil(
        [&] {
            return cutOff.hasServers({"i-1", "i-3", "i-4"});
        },
        "the list of another daemon beside " + shown);
    fixture.platform.put("servers", "i-5", server());
    fixture.runUntil(
        [&] {
            return following.hasServers({"i-1", "i-3", "i-4", "i-5"});
        },
        "a later server beside " + shown);
    for (Daemon *daemon : {&following, &starting, &cutOff}) {
        const auto document = fixture.documentOf(*daemon);
        cr_assert(document.has_value());
        const json items = json::parse(document->body, nullptr, false);
        cr_assert(items.is_array(), "a daemon of another build cannot read the list");
        cr_assert(std::none_of(
            items.begin(), items.end(), [](const json &item) { return item["name"] == "i-2"; }));
    }
}

} // namespace

/// Guards against the end of every process that reads the list: copying the entry overflowed the
/// stack, and the next process ended on the same entry.
Test(oddentries, aDeeplyNestedEntryCostsNoOtherServer)
{
    checkOthersHold(entryWith("more", nested(excessiveDepth)));
}

Test(oddentries, aDeeplyNestedSpecCostsNoOtherServer)
{
    checkOthersHold(nested(excessiveDepth));
}

/// Guards against a list that no process can follow or start with: the parser rejected all of it
/// for one number.
Test(oddentries, aNumberOutOfRangeCostsNoOtherServer)
{
    checkOthersHold(entryWith("slots", "1e999"));
    checkOthersHold(entryWith("born", "-1e999"));
    checkOthersHold(entryWith("more", "[{\"n\": 1e400}]"));
}

/// Guards against the same failure by bytes that are not JSON.
Test(oddentries, unreadableBytesCostNoOtherServer)
{
    for (const char *value : {"\"\xff\xfe\"",
                              "\"\\ud800\"",
                              "\"\\x\"",
                              "\"a\nb\"",
                              "NaN",
                              "0123",
                              "{\"\xc3\": {\"a\": 1}}",
                              "{\"\xc3\": 5, \"b\": 1}"}) {
        checkOthersHold(entryWith("zone", value));
    }
}

/// Guards against the same failure in the lists of servers and daemons that a peer shares.
Test(oddentries, aNumberOutOfRangeInAPeersListIsNotPassedOn)
{
    Fixture fixture;
    Daemon peer(fixture.context, fixture.refusing);
    peer.documents.publish("servers",
                           {7,
                            R"([{"name": "i-2", "spec": )" + entryWith("slots", "1e999")
                                + R"(}, {"name": "i-1", "spec": )" + server().dump() + "}]"});
    Daemon other(fixture.context, fixture.refusing, peer.address);
    fixture.runUntil([&] { return other.hasServers({"i-1"}); }, "the server");
    cr_assert_eq(json::parse(fixture.documentOf(other)->body).size(), 1);
    Telemetry::Metrics metrics;
    ObjectStore store(fixture.context, fixture.refusing.endpoint(), silentLog(), metrics);
    const ListedDaemon self{Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")};
    DaemonDirectory directory(fixture.context, store, self, silentLog(), [](const auto &) {});
    directory.applyDocument(R"({"d": {"address": "10.0.0.4:7"}, "c": {"address": 1e999}})");
    cr_assert_eq(directory.daemons().size(), 2, "this daemon and the readable one");
}

/// Entries that can be read but name no server.
Test(oddentries, anEntryThatNamesNoServerCostsNoOther)
{
    const auto entries = {entryWith("address", "\"10.0.0.9:70000\""),
                          entryWith("address", "\"10.0.0.9:0\""),
                          entryWith("address", "\"1.2.3.4:99999999999\""),
                          entryWith("slots", "1000000000000000000"),
                          entryWith("slots", "1e30"),
                          entryWith("born", "-1"),
                          entryWith("born", "1.5"),
                          entryWith("born", "18446744073709551616"),
                          entryWith("service", "[5]"),
                          entryWith("state", "null"),
                          std::string("7"),
                          std::string("[]")};
    for (const std::string &entry : entries) {
        checkOthersHold(entry);
    }
}

/// Guards against a list that ends at an entry of another writer, which the store pages by name.
Test(oddentries, theNameOfAnEntryDoesNotEndTheList)
{
    for (const char *name : {"i 2", "i&2", "i#2", "i%2", "i\n2", "i\xc3\xa4?after=z"}) {
        Fixture fixture;
        fixture.platform.setPageSize(2);
        fixture.platform.put("servers", "a", server());
        fixture.platform.put("servers", name, 5);
        fixture.platform.put("servers", "z", server());
        Daemon daemon(fixture.context, fixture.platform);
        fixture.runUntil(
            [&] {
                return daemon.hasServers({"a", "z"});
            },
            "the page after " + std::string(name));
    }
}

/// Guards against servers that count as removed because they are on the pages after an object whose
/// name cannot be read.
Test(oddentries, anObjectWithoutANameDoesNotEndTheList)
{
    Fixture fixture;
    fixture.platform.setPageSize(2);
    fixture.platform.put("servers", "a", server());
    fixture.platform.putWithoutName("servers", "b", server());
    fixture.platform.put("servers", "c", server());
    fixture.platform.put("servers", "d", server());
    Daemon daemon(fixture.context, fixture.platform);
    fixture.runUntil([&] { return daemon.hasServers({"a", "c", "d"}); }, "all servers");
}

Test(oddentries, aListThatCannotBeContinuedRemovesNoServer)
{
    Fixture fixture;
    fixture.platform.setPageSize(1);
    fixture.platform.put("servers", "b", server());
    fixture.platform.put("servers", "c", server());
    Daemon daemon(fixture.context, fixture.platform);
    fixture.runUntil([&] { return daemon.hasServers({"b", "c"}); }, "the servers");
    fixture.platform.putWithoutName("servers", "a", server());
    const int calls = fixture.platform.calls();
    fixture.runUntil([&] { return fixture.platform.calls() >= calls + 4; },
                     "lists that end at their first page");
    cr_assert(daemon.hasServers({"b", "c"}));
    fixture.platform.erase("servers", "a");
    fixture.platform.erase("servers", "b");
    fixture.runUntil([&] { return daemon.hasServers({"c"}); }, "the list");
}

Test(oddentries, anUnreadableEntryIsCounted)
{
    Fixture fixture;
    fixture.platform.put("servers", "i-1", server());
    fixture.platform.putText("servers", "i-2", nested(excessiveDepth));
    Daemon daemon(fixture.context, fixture.platform);
    fixture.runUntil([&] { return daemon.hasServers({"i-1"}); }, "the server");
    cr_assert(daemon.metrics.prometheusText().find(
                  "marjoram_store_unreadable_objects_total{call=\"GET servers\"}")
              != std::string::npos);
}

/// Guards against a filter that takes the text of a string or a key for structure.
Test(foreignjson, onlyTheValuesThatAreTooDeepAreUnreadable)
{
    const std::string sound
        = R"("[{\"]": ["}", {"a,:{": [1.5, true, null, "\\"]}], "e": {}, "n": -7)";
    const json expected = json::parse("{" + sound + "}");
    cr_assert(parseForeignJson("{" + sound + "}") == expected);
    json parsed = parseForeignJson("{" + sound + R"(, "deep": {"x": [0, )" + nested(excessiveDepth)
                                   + R"(], "y": 5}, "z": 3})");
    cr_assert_not(isReadable(parsed));
    cr_assert_not(isReadable(parsed["deep"]["x"]));
    cr_assert_eq(parsed["deep"]["y"], 5);
    cr_assert_eq(parsed["z"], 3);
    parsed.erase("deep");
    parsed.erase("z");
    cr_assert(isReadable(parsed));
    cr_assert(parsed == expected);
}

Test(foreignjson, aTextWithoutStructureIsDiscarded)
{
    const std::string deep = nested(excessiveDepth);
    for (const std::string &text : {std::string(),
                                    std::string("]"),
                                    "[" + deep,
                                    deep + "]",
                                    "{\"a\" " + deep + "}",
                                    "[1 2, " + deep + "]",
                                    "[\"" + deep,
                                    "{" + deep + ": 1}"}) {
        cr_assert(parseForeignJson(text).is_discarded(), "%s", text.substr(0, 20).c_str());
    }
}

/// Guards against the end of a process that reads the list of a daemon of an earlier build.
Test(oddentries, aDeeplyNestedEntryInAPeersListIsNotPassedOn)
{
    Fixture fixture;
    Daemon earlier(fixture.context, fixture.refusing);
    const std::string body = R"([{"name": "i-1", "spec": )" + server().dump()
                             + R"(}, {"name": "i-2", "spec": )"
                             + entryWith("more", nested(excessiveDepth)) + "}]";
    earlier.documents.publish("servers", {7, body});
    Daemon later(fixture.context, fixture.refusing, earlier.address);
    fixture.runUntil([&] { return later.hasServers({"i-1"}); }, "the server");
    const json items = json::parse(fixture.documentOf(later)->body);
    cr_assert_eq(items.size(), 1);
    cr_assert_eq(items[0]["spec"], server());
}

/// Guards against the end of a process by the entry of another daemon, from the store or a peer.
Test(oddentries, aDeeplyNestedDaemonCostsNoOther)
{
    Fixture fixture;
    fixture.platform.put("daemons", "b", {{"address", "10.0.0.2:7"}, {"zone", "z"}});
    fixture.platform.putText("daemons", "c", R"({"address": )" + nested(excessiveDepth) + "}");
    Telemetry::Metrics metrics;
    ObjectStore store(fixture.context, fixture.platform.endpoint(), silentLog(), metrics);
    const ListedDaemon self{Base::VmId("a"), "10.0.0.1:7", Base::ZoneId("z")};
    DaemonDirectory directory(fixture.context, store, self, silentLog(), [](const auto &) {});
    directory.applyDocument(R"({"d": {"address": "10.0.0.4:7"}, "c": )" + nested(excessiveDepth)
                            + "}");
    cr_assert_eq(directory.daemons().size(), 2, "this daemon and the readable one");
    directory.start(false);
    fixture.runUntil([&] { return directory.isRead(); }, "the list");
    cr_assert_eq(directory.daemons().size(), 2);
    cr_assert_eq(directory.daemons().back().vm, Base::VmId("b"));
}

/// Guards against a limit on documents that a daemon without the store cannot get a long list
/// under.
Test(oddentries, theListOfALargeDeploymentIsFarBelowTheLimit)
{
    constexpr std::size_t count = 600;
    constexpr std::size_t documentLimit = 4 * 1024 * 1024;
    Fixture fixture;
    for (std::size_t i = 0; i < count; ++i) {
        fixture.platform.put("servers", "server-of-a-long-name-" + std::to_string(i), server());
    }
    Daemon starting(fixture.context, fixture.platform);
    fixture.runUntil([&] { return starting.listed.size() == count; }, "the servers");
    Daemon cutOff(fixture.context, fixture.refusing, starting.address);
    fixture.runUntil([&] { return cutOff.listed.size() == count; }, "the list of another daemon");
    const std::size_t size = fixture.documentOf(starting)->body.size();
    cr_assert_lt(size, documentLimit / 8, "%zu bytes", size);
}
