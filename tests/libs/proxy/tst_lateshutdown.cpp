#include "relayfixture.h"

namespace {

/// Schedule of a daemon that has been removed from the load balancer and ends after the time.
ShutdownSchedule removedFor(Base::Duration time)
{
    return {.balancerDelay = Base::Duration::zero(),
            .drainTimeout = time,
            .flushTime = Base::Duration::zero()};
}

/// Holds a stream open on the connection of the caller, whose head announces no close.
void holdStream(Fixture &fixture, std::vector<std::string> later)
{
    fixture.configure();
    fixture.listServers(false);
    std::vector<std::string> responses{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n"};
    responses.insert(responses.end(), later.begin(), later.end());
    fixture.first.add({responses});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse("id: 1");
}

void endStream(Fixture &fixture)
{
    fixture.first.sendNext("r1");
    fixture.awaitResponse("0\r\n\r\n");
    fixture.received.clear();
}

/// Sends a request that waits for its history; returns the callback that ends the wait.
HistoryControls::FindCallback holdSearch(Fixture &fixture)
{
    fixture.configure();
    fixture.listServers(false);
    const auto found = std::make_shared<HistoryControls::FindCallback>();
    fixture.passThrough().setHistory(
        {.isAvailable = [] { return true; },
         .find
         = [found](const auto &, const auto &, auto callback) { *found = std::move(callback); },
         .keep = {}});
    fixture.request("/kept/", "r1", "Previous: r0\r\n");
    fixture.runUntil([&] { return bool(*found); }, "the history is looked for");
    return *found;
}

/// Lets the connection of the caller outlast the begin of a shutdown.
void keepConnection(Fixture &fixture, const std::string &laterResponse)
{
    holdStream(fixture, {laterResponse});
    fixture.passThrough().stop(removedFor(std::chrono::seconds(5)));
    endStream(fixture);
}

std::string postText(const std::string &path, const std::string &id, const std::string &more)
{
    return "POST " + path
           + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: " + id
           + "\r\nContent-Length: 4\r\n" + more + "\r\nbody";
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

void assertRefused(const Fixture &fixture)
{
    cr_assert(fixture.received.starts_with("HTTP/1.1 503"), "%s", fixture.received.c_str());
    cr_assert(fixture.received.find("Connection: close") != std::string::npos);
    cr_assert(fixture.received.find("Retry-After: 0.000") != std::string::npos);
    cr_assert_eq(requestCount(fixture), 1, "%zu requests were sent", requestCount(fixture));
}

std::int64_t refusals(Fixture &fixture)
{
    for (const Telemetry::LogDetail &detail : fixture.passThrough().account().summary(0)) {
        if (detail.name == "refused_by_shutdown") {
            return std::get<std::int64_t>(detail.value);
        }
    }
    return -1;
}

} // namespace

/// Guards against a late request on a kept connection that is sent to a server and cut off when the
/// process ends (LOST).
Test(lateshutdown, aRequestThatMayNotEndInTimeIsRefused)
{
    const std::string http10Request
        = "GET /stream/ HTTP/1.0\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
          "Request-Id: r2\r\n\r\n";
    const std::vector<std::string> requests{
        postText("/safe/", "r2", ""),
        postText("/once/", "r2", ""),
        postText("/stream/", "r2", ""),
        postText("/resumable/", "r2", ""),
        postText("/resumable/", "r2", "Last-Event-Id: 1\r\nResumes: r0\r\n"),
        postText("/turns/", "r2", "Program: p\r\n"),
        http10Request};
    for (const std::string &request : requests) {
        Fixture fixture;
        keepConnection(fixture, streamHead);
        fixture.send(request);
        fixture.awaitClose();
        assertRefused(fixture);
        cr_assert_eq(refusals(fixture), 1);
    }
}

Test(lateshutdown, aRequestThatEndsInTimeIsServed)
{
    Fixture fixture;
    keepConnection(fixture, okResponse);
    fixture.request("/once/", "r2", "Timeout-Ms: 1000\r\n");
    fixture.awaitResponse("hello");
    fixture.awaitClose();
    cr_assert_eq(refusals(fixture), 0);
}

/// Guards against pipelined requests that get no response once one of them is refused.
Test(lateshutdown, eachPipelinedRequestIsAnswered)
{
    Fixture fixture;
    keepConnection(fixture, streamHead);
    fixture.send(postText("/once/", "r2", "") + postText("/safe/", "r3", "")
                 + postText("/stream/", "r4", ""));
    fixture.awaitClose();
    cr_assert_eq(countOf(fixture.received, "HTTP/1.1 503"), 3, "%s", fixture.received.c_str());
    cr_assert_eq(countOf(fixture.received, "Connection: close"), 1);
    cr_assert_eq(requestCount(fixture), 1);
    cr_assert_eq(fixture.passThrough().account().droppedRequests(), 0);
}

/// Guards against a request that is read behind a stream and dropped when that is cut off (LOST).
Test(lateshutdown, aRequestBehindAStreamThatIsCutOffIsNotRead)
{
    Fixture fixture;
    holdStream(fixture, {});
    fixture.passThrough().stop(removedFor(std::chrono::seconds(5)));
    fixture.request("/once/", "r2");
    fixture.context().run_for(std::chrono::milliseconds(50));
    fixture.passThrough().endRequests();
    fixture.awaitClose();
    cr_assert_eq(fixture.passThrough().account().droppedRequests(), 0);
}

Test(lateshutdown, aRequestWhoseBodyCompletesLateIsRefused)
{
    Fixture fixture;
    keepConnection(fixture, okResponse);
    const std::string request = postText("/once/", "r2", "");
    fixture.send(request.substr(0, request.size() - 2));
    fixture.context().run_for(std::chrono::milliseconds(50));
    fixture.passThrough().closeIdle();
    fixture.send(request.substr(request.size() - 2));
    fixture.awaitClose();
    assertRefused(fixture);
}

/// Guards against a request that arrived before the shutdown, waited, and is sent late.
Test(lateshutdown, aRequestThatHasWaitedIsNotSentLate)
{
    Fixture fixture;
    const HistoryControls::FindCallback found = holdSearch(fixture);
    fixture.passThrough().stop(removedFor(std::chrono::seconds(5)));
    TurnHistory::Chain chain;
    chain.team = Base::TeamId("club");
    found(TurnHistory::LookupResult::Found, chain);
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.awaitClose();
    cr_assert_eq(requestCount(fixture), 0);
    cr_assert_eq(refusals(fixture), 1);
}

/// Guards against a request without an answer that waits when the process ends.
Test(lateshutdown, aRequestThatWaitsIsAnsweredWhenTheProcessEnds)
{
    Fixture fixture;
    const HistoryControls::FindCallback found = holdSearch(fixture);
    fixture.passThrough().stop();
    fixture.passThrough().endRequests();
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.awaitClose();
    found(TurnHistory::LookupResult::Found, {});
    cr_assert_eq(requestCount(fixture), 0);
}

/// A request that has run on one server is repeated on another one rather than answered with 502.
Test(lateshutdown, aRequestThatMayHaveRunIsRepeated)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{""}});
    fixture.second.add({{okResponse}});
    fixture.request("/safe/", "r1");
    fixture.runUntil([&] { return requestCount(fixture) == 1; }, "the server has the request");
    fixture.listServers(true);
    fixture.passThrough().stop(removedFor(std::chrono::seconds(5)));
    fixture.first.crash();
    fixture.awaitResponse("hello");
    fixture.awaitClose();
}

/// Guards against a late request that is sent through another daemon and cut off with this one.
Test(lateshutdown, aRequestThroughAnotherDaemonIsRefusedToo)
{
    RelayFixture fixture(refusingAddress());
    fixture.first.add({{streamHead + chunk(event(1)), chunk(event(2)) + "0\r\n\r\n", okResponse}});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse("id: 1");
    fixture.passThrough().stop(removedFor(std::chrono::seconds(5)));
    endStream(fixture);
    fixture.request("/once/", "r2");
    fixture.awaitClose();
    assertRefused(fixture);
}
