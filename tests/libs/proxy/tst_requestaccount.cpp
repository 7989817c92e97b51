#include "passthroughfixture.h"

#include <algorithm>

namespace {

std::uint64_t numberOf(const std::vector<Telemetry::LogDetail> &details, const std::string &name)
{
    const auto detail = std::find_if(
        details.begin(), details.end(), [&](const auto &each) { return each.name == name; });
    cr_assert(detail != details.end(), "%s is missing", name.c_str());
    return static_cast<std::uint64_t>(std::get<std::int64_t>(detail->value));
}

std::uint64_t numberOf(Fixture &fixture, const std::string &name)
{
    return numberOf(fixture.passThrough().account().summary(0), name);
}

} // namespace

/// Guards against requests that end in a way that no counter shows.
Test(requestaccount, eachRequestThatWasReadEndsInOneWay)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    const std::string cutResponse = streamHead + chunk(event(1));
    fixture.first.add({{okResponse, cutResponse}, true});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    fixture.request("/nowhere/", "r2");
    fixture.awaitResponse("HTTP/1.1 404");
    fixture.request("/stream/", "r3");
    fixture.awaitClose();
    fixture.reconnect();
    fixture.request("/once/", "r4");
    fixture.runUntil([&] { return requestCount(fixture) == 3; }, "the server has the request");
    fixture.disconnect();
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the request of the caller that left ends");
    cr_assert_eq(numberOf(fixture, "read"), 4);
    for (const char *ending : {"answered", "refused", "cut", "caller_gone"}) {
        cr_assert_eq(numberOf(fixture, ending), 1, "%s", ending);
    }
    cr_assert_eq(numberOf(fixture, "dropped"), 0);
}

/// Guards against requests that cross the end of their connection and show nowhere.
Test(requestaccount, aRequestThatCrossesTheEndOfItsConnectionIsCounted)
{
    Fixture fixture;
    fixture.configure();
    fixture.passThrough().stop();
    fixture.runUntil([&] { return fixture.passThrough().openConnections() == 1; }, "the caller");
    fixture.passThrough().closeIdle();
    fixture.request("/once/", "r1");
    fixture.awaitClose();
    fixture.runUntil([&] { return fixture.passThrough().openConnections() == 0; }, "the close");
    cr_assert_eq(numberOf(fixture, "unread_connections"), 1);
    cr_assert_eq(numberOf(fixture, "read"), 0);
}
