#include <platform/callsummary.h>
#include <platform/documents.h>
#include <platform/headers.h>
#include <platform/nodesettings.h>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Adapter;
using nlohmann::json;

namespace {

json nodeFile()
{
    return {
        {"node_name", "front-a-1"},
        {"ip", "10.1.0.11"},
        {"zone", "a"},
        {"zones", {{"a", "r"}, {"b", "r"}}},
        {"listen",
         {{"front", "10.1.0.11:8368"}, {"ready", "10.1.0.11:8369"}, {"control", "10.1.0.11:8367"}}},
        {"seeds", {"10.1.0.11:8367", "10.2.0.34:8367"}},
        {"data_dir", nullptr},
        {"something_new", 5},
        {"bounds", {{"config_apply_ms", 2000}, {"grace_s", 8}}},
        {"platform", {{"address", "10.200.1.7:8362"}}}};
}

json serverEntry()
{
    return {{"service", "s"},
            {"address", "10.128.0.9:8080"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 16},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"seq_no", 4},
            {"born", 1790000000123}};
}

std::optional<Dispatch::ListedServer> server(const json &entry)
{
    std::vector<DocumentProblem> problems;
    // Parsed again because JSON from the wire holds non-negative integers as unsigned.
    auto decoded = decodeServer("i-1", json::parse(entry.dump()), problems);
    cr_assert_eq(
        decoded.has_value(), problems.empty(), "an entry is used or a problem is reported");
    return decoded;
}

json routing()
{
    return json::parse(R"({
        "version": 7,
        "routes": [{"name": "r1", "host": "h.example", "path_prefix": "/p/", "kind": "stream",
                    "timeout_ms": 3000, "goal_ms": 250, "priority": 1, "service": "s",
                    "attempts": 2, "retain_s": 60.0, "public": false, "resumable": true}],
        "services": [{"name": "s", "max_conns": 170, "engine": {"stride": 29}}],
        "limits": {"header_bytes": 1000, "body_bytes": 2000, "header_timeout_ms": 300,
                   "idle_timeout_ms": 400},
        "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "rate_per_s": 17.5, "burst": 9}]
    })");
}

} // namespace

Test(nodesettings, readsTheFile)
{
    const ParsedNodeSettings parsed = parseNodeSettings(nodeFile().dump());
    cr_assert(parsed.problems.empty());
    cr_assert_eq(parsed.settings.vm.text(), "front-a-1");
    cr_assert_eq(parsed.settings.callers->port(), 8368);
    cr_assert_eq(parsed.settings.peers->port(), 8367);
    cr_assert_eq(parsed.settings.store.port(), 8362);
    cr_assert_eq(parsed.settings.seeds.size(), 2);
    cr_assert_eq(parsed.settings.zones.size(), 2);
    cr_assert_eq(parsed.settings.stopGrace, std::chrono::seconds(8));
}

/// Guards against a daemon that does not know its limit, is given a fraction, or refuses to start
/// where none is stated.
Test(nodesettings, readsTheMemoryOfTheProcess)
{
    json file = nodeFile();
    cr_assert(!parseNodeSettings(file.dump()).settings.memory);
    file["limits"] = {{"memory_mb", 96}};
    cr_assert_eq(parseNodeSettings(file.dump()).settings.memory, Base::Bytes(96'000'000));
    file["limits"] = {{"memory_mb", 109.5}};
    cr_assert_eq(parseNodeSettings(file.dump()).settings.memory, Base::Bytes(109'500'000));
    file["limits"] = {{"memory_mb", 0}};
    cr_assert_eq(parseNodeSettings(file.dump()).problems.front().path, "/limits/memory_mb");
}

/// Guards against a limit on responses of the store that does not follow what the platform allows.
Test(nodesettings, readsTheLargestObjectOfTheStore)
{
    json file = nodeFile();
    file["platform"].erase("value_bytes");
    cr_assert_eq(parseNodeSettings(file.dump()).settings.maxStoreObject, Base::Bytes(1024 * 1024));
    file["platform"]["value_bytes"] = 3'000'000;
    cr_assert_eq(parseNodeSettings(file.dump()).settings.maxStoreObject, Base::Bytes(3'000'000));
}

Test(nodesettings, readsWhatADaemonThatKeepsTurnsNeeds)
{
    json file = nodeFile();
    file["listen"] = json::object();
    file["data_dir"] = "/data/store";
    file["port_range"] = {7780, 7795};
    file["tolerate"] = {{"machines", 2}, {"zones", 1}, {"regions", 0}};
    file["limits"] = {{"disk_mb", 440}};
    const ParsedNodeSettings parsed = parseNodeSettings(file.dump());
    cr_assert(parsed.problems.empty());
    cr_assert(!parsed.settings.callers);
    cr_assert_eq(parsed.settings.turnStore->port(), 7780);
    cr_assert_eq(parsed.settings.streamRecords->port(), 7782, "fronts and stores must agree on it");
    cr_assert_eq(parsed.settings.toleratedLosses, 2);
    cr_assert_eq(parsed.settings.diskBytes, 440'000'000);
    cr_assert_eq(parsed.settings.dataFolder, "/data/store");
    file["port_range"] = json::array();
    file["tolerate"]["machines"] = -1;
    const ParsedNodeSettings invalid = parseNodeSettings(file.dump());
    cr_assert(!invalid.settings.turnStore);
    cr_assert_eq(invalid.problems.size(), 1);
}

/// Guards against a process that does not start because a bound is a fraction.
Test(nodesettings, acceptsFractionsInTheBounds)
{
    json file = nodeFile();
    file["bounds"] = {{"config_apply_ms", 2000.0}, {"evac_ms", 4500.5}, {"grace_s", 7.5}};
    const ParsedNodeSettings parsed = parseNodeSettings(file.dump());
    cr_assert(parsed.problems.empty());
    cr_assert_eq(parsed.settings.configurationBound, std::chrono::milliseconds(2000));
    cr_assert(parsed.settings.closureBound == std::chrono::microseconds(4'500'500));
    cr_assert_eq(parsed.settings.stopGrace, std::chrono::milliseconds(7500));
    file["bounds"] = {{"grace_s", 0.5}};
    cr_assert_eq(parseNodeSettings(file.dump()).settings.stopGrace, std::chrono::milliseconds(500));
    file["bounds"] = {{"grace_s", 0}};
    cr_assert_eq(parseNodeSettings(file.dump()).problems.size(), 1);
}

Test(nodesettings, reportsProblems)
{
    json file = nodeFile();
    file["listen"]["front"] = "somewhere";
    file["platform"].erase("address");
    file.erase("zone");
    const ParsedNodeSettings parsed = parseNodeSettings(file.dump());
    cr_assert_eq(parsed.problems.size(), 3);
    cr_assert_eq(parseNodeSettings("{").problems.size(), 1);
}

Test(documents, readsARoutingDocument)
{
    const auto decoded = decodeRouting(routing());
    cr_assert(decoded && decoded->problems.empty());
    const Contracts::RoutingDocument &document = decoded->document;
    cr_assert_eq(document.version.value(), 7);
    const Contracts::Route &route = document.routes.at(0);
    cr_assert_eq(route.kind, Contracts::RouteKind::Stream);
    cr_assert_eq(route.timeout, std::chrono::seconds(3));
    cr_assert_eq(route.attempts, 2);
    cr_assert(route.isResumable);
    cr_assert(!route.isHistoryKept);
    json kept = routing();
    kept["routes"][0]["retained"] = true;
    cr_assert(decodeRouting(kept)->document.routes.at(0).isHistoryKept);
    cr_assert_eq(*route.programRetention, std::chrono::seconds(60));
    cr_assert_eq(document.services.at(0).tokensPerEvent.value(), 29);
    cr_assert_eq(document.limits.headTimeout, std::chrono::milliseconds(300));
    cr_assert_eq(document.teams.at(0).team.keys.size(), 2);
    cr_assert(document.teams.at(0).team.keys[0].hash == Contracts::hashSecret("k1"));
    cr_assert_float_eq(document.teams.at(0).team.ratePerSecond, 17.5, 1e-9);
}

Test(documents, readsASplit)
{
    json spec = routing();
    spec["routes"][0].erase("service");
    spec["routes"][0]["split"]
        = {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}};
    const auto decoded = decodeRouting(spec);
    cr_assert_eq(decoded->document.routes.at(0).services.at(1).weight, 10);
}

Test(documents, invalidFieldsDoNotAffectOthers)
{
    json spec = routing();
    spec["routes"].push_back(5);
    spec["routes"].push_back(
        json::parse(R"({"name": "r2", "host": 5, "path_prefix": "/q/", "kind": "new"})"));
    spec["routes"][0]["timeout_ms"] = "soon";
    spec["tenants"].push_back(json::parse(R"({"api_keys": "k"})"));
    const auto decoded = decodeRouting(spec);
    cr_assert(decoded);
    cr_assert_eq(decoded->document.routes.size(), 1);
    cr_assert_eq(decoded->document.teams.size(), 1);
    cr_assert_geq(decoded->problems.size(), 4);
    cr_assert(!decodeRouting(json(5)));
    spec.erase("version");
    cr_assert(!decodeRouting(spec), "documents without a version cannot be ordered");
}

Test(documents, aRouteOfUnknownKindIsNotRetried)
{
    json spec = routing();
    spec["routes"][0]["kind"] = "new";
    cr_assert_eq(decodeRouting(spec)->document.routes.at(0).kind,
                 Contracts::RouteKind::NonIdempotent);
}

Test(documents, readsAServer)
{
    const auto decoded = server(serverEntry());
    cr_assert_eq(decoded->server.slots, 16);
    cr_assert_eq(decoded->startedAt, 1790000000123U);
    cr_assert(!decoded->server.isLeaving);
    json leaving = serverEntry();
    leaving["state"] = "draining";
    cr_assert(server(leaving)->server.isLeaving);
    cr_assert_eq(server(leaving)->version.text(), "v1");
}

/// Guards against an entry that is ignored, or a server that is taken for warm, because the time
/// that it stays cold is unusable.
Test(documents, readsTheTimeThatAServerStaysCold)
{
    json entry = serverEntry();
    entry.erase("cold_left_ms");
    cr_assert(!server(entry)->coldLeft, "not stated");
    entry["cold_left_ms"] = 1234.5;
    cr_assert_eq(*server(entry)->coldLeft, std::chrono::microseconds(1'234'500));
    entry["cold_left_ms"] = 0;
    cr_assert_eq(*server(entry)->coldLeft, Base::Duration::zero());
    for (const json &unusable : {json(-1), json("3000"), json(1e18), json(true), json::array()}) {
        entry["cold_left_ms"] = unusable;
        std::vector<DocumentProblem> problems;
        const auto decoded = decodeServer("i-1", json::parse(entry.dump()), problems);
        cr_assert(decoded && !decoded->coldLeft);
        cr_assert_eq(problems.size(), 1);
        cr_assert(problems.front().isEntryUsed);
    }
}

/// Guards against a bound for services without one, and against a period without end.
Test(documents, readsTheRateOfColdServers)
{
    json spec = routing();
    cr_assert_eq(decodeRouting(spec)->document.services.at(0).coldRate.value(), 0);
    spec["services"][0]["cold_per_s"] = 23;
    spec["services"][0]["cold_s"] = 4.5;
    const Contracts::RoutedService service = decodeRouting(spec)->document.services.at(0);
    cr_assert_eq(service.coldRate.value(), 23);
    cr_assert_eq(service.coldPeriod, std::chrono::milliseconds(4500));
    spec["services"][0]["cold_per_s"] = -23;
    spec["services"][0]["cold_s"] = 1e9;
    const auto unusable = decodeRouting(spec);
    cr_assert_eq(unusable->problems.size(), 2);
    cr_assert_eq(unusable->document.services.at(0).coldRate.value(), 0);
    cr_assert_eq(unusable->document.services.at(0).coldPeriod, std::chrono::seconds(3));
}

/// Guards against an entry whose slots are taken for their remainder of 32 bits, or whose start for
/// one before 1970.
Test(documents, rejectsServerEntriesWithNumbersOutOfRange)
{
    for (const char *field : {"slots", "born"}) {
        for (const char *value : {"18446744073709551615",
                                  "18446744073709551616",
                                  "9223372036854775808",
                                  "1e300",
                                  "-1e300",
                                  "-9223372036854775809"}) {
            json entry = serverEntry();
            entry[field] = json::parse(value);
            cr_assert(!server(entry), "%s = %s", field, value);
        }
    }
    for (const std::uint64_t slots : {std::uint64_t{1} << 32, (std::uint64_t{1} << 32) + 16}) {
        json entry = serverEntry();
        entry["slots"] = slots;
        cr_assert(!server(entry), "slots = %s", std::to_string(slots).c_str());
    }
}

/// An address is used by all that connect to the server: none may get a port cut to 16 bits.
Test(documents, rejectsServerEntriesWithPortsOutOfRange)
{
    for (const char *port : {"70000",
                             "65536",
                             "0",
                             "-1",
                             "+80",
                             "99999999999",
                             "80x",
                             " 80",
                             "",
                             "1e3",
                             "65536000000000000000000080"}) {
        json entry = serverEntry();
        entry["address"] = std::string("10.128.0.9:") + port;
        cr_assert(!server(entry), "port '%s'", port);
    }
}

/// Guards against a deadline in the past and no attempts at all, by numbers that overflow.
Test(documents, boundsNumbersOfTheConfiguration)
{
    for (const char *value : {"18446744073709551615", "1e300"}) {
        json spec = routing();
        const json huge = json::parse(value);
        json &route = spec["routes"][0];
        for (const char *field : {"timeout_ms", "goal_ms", "retain_s"}) {
            route[field] = huge;
        }
        route["split"] = json::array({{{"service", "s"}, {"weight", huge}}});
        spec["limits"]["idle_timeout_ms"] = huge;
        const auto document = decodeRouting(spec)->document;
        const Contracts::Route &read = document.routes.at(0);
        const std::vector<std::optional<Base::Duration>> times{
            read.timeout, read.objective, read.programRetention, document.limits.idleTimeout};
        for (const auto &time : times) {
            cr_assert(time == std::chrono::hours(24 * 365));
        }
        cr_assert_eq(read.services.at(0).weight, std::numeric_limits<std::uint32_t>::max());
    }
    json spec = routing();
    const std::uint64_t wraps = std::uint64_t{1} << 32;
    spec["routes"][0]["attempts"] = wraps;
    spec["routes"][0]["priority"] = wraps;
    spec["services"][0]["max_conns"] = wraps;
    spec["services"][0]["engine"]["stride"] = std::numeric_limits<std::uint64_t>::max();
    spec["tenants"][0]["priority"] = wraps;
    const auto document = decodeRouting(spec)->document;
    constexpr std::uint32_t largest = std::numeric_limits<std::uint32_t>::max();
    cr_assert_eq(document.routes.at(0).attempts, largest);
    cr_assert_eq(document.routes.at(0).priority, largest);
    cr_assert_eq(document.services.at(0).maxConnections, largest);
    cr_assert_eq(document.services.at(0).tokensPerEvent, Base::Tokens(largest));
    cr_assert(document.teams.at(0).priority == largest);
}

Test(documents, rejectsInvalidServerEntries)
{
    const std::vector<std::pair<std::string, json>> bad{{"service", 5},
                                                        {"address", "here"},
                                                        {"address", 7},
                                                        {"zone", nullptr},
                                                        {"slots", "16"},
                                                        {"slots", -1},
                                                        {"state", "happy"},
                                                        {"version", 2},
                                                        {"version", ""},
                                                        {"born", "x"},
                                                        {"born", -5},
                                                        {"born", 1.5}};
    for (const auto &[field, value] : bad) {
        json entry = serverEntry();
        entry[field] = value;
        cr_assert(!server(entry), "%s = %s", field.c_str(), value.dump().c_str());
    }
    for (const char *field : {"service", "address", "zone", "state", "slots", "version"}) {
        json entry = serverEntry();
        entry.erase(field);
        cr_assert(!server(entry), "without %s", field);
    }
    cr_assert(!server(json("text")));
    cr_assert(!server(json()));
}

Test(headers, readsRequestFields)
{
    Proxy::RequestHead head;
    head.headers.add("X-Attempt-Id", "9c41");
    head.headers.add("X-Deadline-Ms", "1200");
    head.headers.add("X-Program-Id", "p1");
    head.headers.add("X-Session-Id", "s1");
    head.headers.add("X-Token-Budget", "4640");
    head.headers.add("X-Token-Count", "1840,580");
    head.headers.add("X-Finish-Ms", "5200");
    head.headers.add("X-Model", "m");
    head.headers.add("X-Prompt-Prefix", "5c1e:800,91bd:410");
    const Proxy::RequestTraits traits = headerTranslator().readRequest(head);
    cr_assert_eq(traits.id, "9c41");
    cr_assert_eq(*traits.callerTimeout, std::chrono::milliseconds(1200));
    cr_assert_eq(traits.programBudget->value(), 4640);
    cr_assert_eq(traits.maxOutput.value(), 580);
    cr_assert_eq(traits.prompt.size(), 2);
    cr_assert_eq(traits.prompt[1].tokens.value(), 410);
    head.headers.set("X-Model", "other");
    cr_assert_neq(headerTranslator().readRequest(head).prompt[0].key, traits.prompt[0].key);
}

Test(headers, readsThePreviousTurn)
{
    const auto read = [](const std::vector<std::string> &values) {
        Proxy::RequestHead head;
        for (const std::string &value : values) {
            head.headers.add("X-Previous-Turn", value);
        }
        return headerTranslator().readRequest(head);
    };
    cr_assert_eq(read({"40c8f1a7b3e9265d"}).previousTurn, "40c8f1a7b3e9265d");
    cr_assert(!read({"40c8f1a7b3e9265d"}).isPreviousTurnMalformed);
    cr_assert(!read({}).isPreviousTurnMalformed);
    const std::vector<std::vector<std::string>> malformed{
        {""}, {"a b"}, {"../a"}, {std::string(65, 'a')}, {"a", "b"}, {"a", "a"}, {"a\x80"}};
    for (const auto &values : malformed) {
        cr_assert(read(values).isPreviousTurnMalformed, "%s", values.front().c_str());
    }
}

Test(headers, readsTheAnnouncementOfAServerThatLeaves)
{
    Proxy::ResponseHead head;
    cr_assert(!headerTranslator().readResponse(head).isServerLeaving);
    head.headers.add("Server-Leaving", "1");
    cr_assert(headerTranslator().readResponse(head).isServerLeaving);
}

Test(headers, readsTheStreamThatARequestResumes)
{
    Proxy::RequestHead head;
    head.headers.add("X-Attempt-Id", "9c42");
    cr_assert(headerTranslator().readRequest(head).resumedAttempt.empty());
    head.headers.add("Last-Event-Id", "12");
    head.headers.add("Resumes", "9c41");
    const Proxy::RequestTraits traits = headerTranslator().readRequest(head);
    cr_assert_eq(traits.resumedAttempt, "9c41");
    cr_assert_eq(*traits.lastEventId, "12");
}

Test(headers, readsTheRequestLimitOfAServer)
{
    const auto read = [](std::initializer_list<const char *> values) {
        Proxy::ResponseHead head;
        for (const char *value : values) {
            head.headers.add("Server-Limit", value);
        }
        return headerTranslator().readResponse(head);
    };
    cr_assert(!read({}).requestLimit);
    cr_assert(!read({}).isRequestLimitMalformed);
    cr_assert_eq(read({"6.5"}).requestLimit->value(), 6.5);
    cr_assert_eq(read({" 12 "}).requestLimit->value(), 12);
    cr_assert_eq(read({"0"}).requestLimit->value(), 0);
    for (const char *text : {"", "-1", "nan", "inf", "1e3", "5/s", "0x10", "1.2.3", ".", "+4"}) {
        cr_assert(!read({text}).requestLimit, "%s", text);
        cr_assert(read({text}).isRequestLimitMalformed, "%s", text);
    }
    cr_assert(read({"5", "6"}).isRequestLimitMalformed);
    cr_assert(!read({"5", "6"}).requestLimit);
}

Test(headers, ignoresInvalidNumbers)
{
    Proxy::RequestHead head;
    head.headers.add("X-Deadline-Ms", "12x");
    head.headers.add("X-Token-Budget", "-5");
    head.headers.add("X-Prompt-Prefix", "a:1,b");
    const Proxy::RequestTraits traits = headerTranslator().readRequest(head);
    cr_assert(!traits.callerTimeout);
    cr_assert(!traits.programBudget);
    cr_assert_eq(traits.prompt.size(), 1);
}

Test(headers, removesReservedFieldsOfCallers)
{
    Proxy::HeaderFields headers;
    for (const char *name : {"Authorization",
                             "X-Tenant",
                             "X-Target-Instance",
                             "X-Kv-Hold",
                             "X-Pin-Ms",
                             "X-Kv-Backup",
                             "Kv-From",
                             "Kv-Fetch"}) {
        headers.add(name, "forged");
        headers.add(name, "twice");
    }
    headers.add("X-Deadline-Ms", "3000");
    headers.add("X-Attempt-Id", "9c41");
    Proxy::ForwardTraits forward;
    forward.server = Base::ServerId("i-1");
    forward.team = Base::TeamId("club");
    forward.timeLeft = std::chrono::milliseconds(2500);
    headerTranslator().prepareForward(headers, forward);
    cr_assert_eq(headers.all().size(), 4);
    cr_assert_eq(*headers.find("X-Tenant"), "club");
    cr_assert_eq(*headers.find("X-Target-Instance"), "i-1");
    cr_assert_eq(*headers.find("X-Deadline-Ms"), "2500");
    cr_assert_eq(*headers.find("X-Attempt-Id"), "9c41");
}

Test(headers, readsResponseFields)
{
    Proxy::ResponseHead head;
    head.status = 200;
    head.headers.add("X-Attempt-Id", "9c41");
    head.headers.add("X-Server-Stamp", "3e1b.07");
    head.headers.add("X-Server-Load", "3,1,8");
    const Proxy::ResponseTraits traits = headerTranslator().readResponse(head);
    cr_assert_eq(traits.id, "9c41");
    cr_assert(traits.isAuthentic);
    cr_assert_eq(traits.load->waiting, 1);
    cr_assert(!traits.isNotRun);
    head.headers.set("X-Server-Load", "3,1");
    cr_assert(!headerTranslator().readResponse(head).load);
    head.headers.add("X-Not-Executed", "1");
    cr_assert(headerTranslator().readResponse(head).isNotRun);
    head.status = 421;
    cr_assert(headerTranslator().readResponse(head).isWrongServer);
}

/// Guards against reports that are dropped because they also state the slowness of the VM, and
/// against figures that are no report.
Test(headers, readsLoadsWithAndWithoutSlowness)
{
    const auto traitsOf = [](const char *load) {
        Proxy::ResponseHead head;
        head.headers.add("X-Server-Load", load);
        return headerTranslator().readResponse(head);
    };
    cr_assert_eq(traitsOf("3,1,8,140").load->slowness, 140U);
    cr_assert_eq(traitsOf("3,1,8,140").load->waiting, 1U);
    cr_assert_not(traitsOf("3,1,8").load->slowness);
    for (const char *load : {"3,1,8,140,5", "3,1,8,-1", "3,1,8,x", "3,1,-8", "3,1,8.5", ""}) {
        cr_assert_not(traitsOf(load).load, "%s", load);
        cr_assert(traitsOf(load).isLoadMalformed, "%s", load);
    }
}

Test(callsummary, countsCallsByKindAndStatusOncePerInterval)
{
    const auto at = [](int seconds) { return Base::Instant(std::chrono::seconds(seconds)); };
    CallSummary summary(at(0));
    cr_assert(!summary.add("GET servers", 200, at(1)));
    cr_assert(!summary.add("PUT daemons", 409, at(2)));
    const auto first = summary.add("GET servers", 200, at(10));
    cr_assert(first == "GET servers 200: 2, PUT daemons 409: 1");
    cr_assert(!summary.add("GET servers", 0, at(19)));
    cr_assert(summary.add("GET servers", 0, at(20)) == "GET servers 0: 2");
}
