#include "enginefake.h"
#include "generation.h"
#include "objecttable.h"

#include <backends/httpclient.h>

#include <criterion/criterion.h>

#include <future>

using namespace Fakes;

namespace {

nlohmann::json fetch(const std::string &url, const std::string &body)
{
    Backends::HttpClient http;
    Backends::HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.url = url;
    request.body = body;
    std::string answer;
    std::promise<void> done;
    Backends::HttpHandlers handlers;
    handlers.onData = [&answer](std::string_view data) {
        answer += data;
        return Backends::FlowControl::Continue;
    };
    handlers.onDone = [&done](const Backends::HttpOutcome &) { done.set_value(); };
    http.start(std::move(request), std::move(handlers));
    done.get_future().wait();
    return nlohmann::json::parse(answer);
}

nlohmann::json chat(const std::string &prompt, std::int64_t maxTokens)
{
    const nlohmann::json message{{"role", "user"}, {"content", prompt}};
    return {{"messages", nlohmann::json::array({message})}, {"max_tokens", maxTokens}};
}

} // namespace

Test(objecttable, versionsDecideEveryWrite)
{
    ObjectTable table;
    TableObject first{"vms", "a", 0, {}, "YQ=="};
    cr_assert_eq(table.create(first), TableOutcome::Done);
    TableObject second{"vms", "a", 0, {}, "Yg=="};
    cr_assert_eq(table.create(second), TableOutcome::AlreadyExists);
    cr_assert_eq(table.replace(second), TableOutcome::Conflict);
    second.version = first.version;
    cr_assert_eq(table.replace(second), TableOutcome::Done);
    cr_assert_gt(second.version, first.version);
    cr_assert_eq(table.eventsSince(first.version)->size(), 1U);
    cr_assert_eq(table.remove("vms", "a"), TableOutcome::Done);
    cr_assert_eq(table.remove("vms", "a"), TableOutcome::NotFound);
}

Test(objecttable, historyIsBounded)
{
    ObjectTable table;
    TableObject object{"vms", "a", 0, {}, ""};
    table.create(object);
    for (int i = 0; i < 3000; ++i) {
        table.replace(object);
    }
    cr_assert(!table.eventsSince(1));
    cr_assert_eq(table.eventsSince(3000)->size(), 1U);
}

Test(generation, dependsOnTheInputAlone)
{
    const auto first = planGeneration(chat("plan words=20", 12), "p");
    const auto second = planGeneration(chat("plan words=20", 12), "p");
    cr_assert(first->output == second->output);
    cr_assert_eq(first->output.size(), 12U);
    cr_assert_eq(first->finishReason, "length");
    const auto other = planGeneration(chat("plan words=20 now", 12), "p");
    cr_assert(first->output != other->output);
    cr_assert(!planGeneration(nlohmann::json::array(), "p"));
}

Test(prefixcache, evictsTheLeastRecentlyUsed)
{
    PrefixCache cache(10);
    cache.store("a", {1, 2, 3, 4}, 0);
    cache.store("b", {1, 2, 3, 4}, 0);
    cr_assert_eq(cache.match("a", {1, 2, 9}), 2);
    cache.store("c", {1, 2, 3, 4}, 0);
    cr_assert_eq(cache.match("b", {1, 2, 9}), 0);
    cr_assert_eq(cache.tokens(), 8);
}

Test(enginefake, movesPrefixesAndLosesEvents)
{
    EngineFake from(EngineSettings{.eventDelayMs = 0, .loseEveryNthEvent = 2});
    EngineFake to;
    from.start();
    to.start();
    for (const char *program : {"a", "b", "c"}) {
        fetch(from.url() + "/cache/import",
              nlohmann::json{{"program", program}, {"tokens", {1, 2, 3}}}.dump());
    }
    const auto events = fetch(from.url() + "/cache/events", "")["events"];
    cr_assert_eq(events.size(), 2U);
    cr_assert_eq(events[1]["sequence"], 3);
    const auto exported = fetch(from.url() + "/cache/export", R"({"program": "b"})");
    fetch(to.url() + "/cache/import", exported.dump());
    cr_assert(to.cachedPrograms() == std::vector<std::string>{"b"});
}
