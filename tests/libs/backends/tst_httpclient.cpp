#include "waiting.h"

#include <backends/httpclient.h>

#include <fakes/toolfake.h>

#include <criterion/criterion.h>

#include <set>

using namespace Backends;

namespace {

HttpRequest lookup(const Fakes::ToolFake &tool)
{
    HttpRequest request;
    request.url = tool.url() + "/stock";
    request.mayRepeat = true;
    return request;
}

} // namespace

Test(httpclient, connectionsPerHostAreLimited)
{
    Fakes::ToolFake tool;
    tool.start();
    tool.inject(Fakes::ToolFault::Slow, 20);
    Arrivals<HttpOutcome> outcomes;
    HttpClient http(HttpClientOptions{.maxConnectionsPerHost = 2});
    for (int i = 0; i < 6; ++i) {
        http.start(lookup(tool),
                   {.onDone = [&](const HttpOutcome &outcome) { outcomes.add(outcome); }});
    }
    for (const HttpOutcome &outcome : outcomes.first(6)) {
        cr_assert_eq(outcome.end, HttpEnd::Complete);
    }
    std::set<std::uint64_t> connections;
    for (const Fakes::ReceivedRequest &request : tool.received()) {
        connections.insert(request.connection);
    }
    cr_assert_eq(tool.received().size(), 6U);
    cr_assert_eq(connections.size(), 2U);
}

Test(httpclient, destructorCancelsRequestsInFlight)
{
    Fakes::ToolFake tool;
    tool.start();
    tool.inject(Fakes::ToolFault::Hang);
    Arrivals<HttpOutcome> outcomes;
    {
        HttpClient http;
        http.start(lookup(tool),
                   {.onDone = [&](const HttpOutcome &outcome) { outcomes.add(outcome); }});
        cr_assert(eventually([&] { return tool.received().size() == 1; }));
    }
    const auto now = outcomes.now();
    cr_assert_eq(now.size(), 1U);
    cr_assert_eq(now[0].end, HttpEnd::Cancelled);
    cr_assert_eq(now[0].ran, Base::Ran::MayHaveRun);
}

Test(httpclient, headersCannotBeInjected)
{
    Fakes::ToolFake tool;
    tool.start();
    Arrivals<HttpOutcome> outcomes;
    HttpClient http;
    HttpRequest request = lookup(tool);
    request.headers = {{"X-Good", "1"}, {"X-Bad", "2\r\nX-Injected: 3"}, {"X-Empty", ""}};
    http.start(request, {.onDone = [&](const HttpOutcome &outcome) { outcomes.add(outcome); }});
    cr_assert_eq(outcomes.first(1).size(), 1U);
    const std::string headers = tool.received().at(0).headers;
    cr_assert_neq(headers.find("X-Good: 1"), std::string::npos);
    cr_assert_neq(headers.find("X-Empty:"), std::string::npos);
    cr_assert_eq(headers.find("X-Injected"), std::string::npos);
}
