#include "passthroughfixture.h"

Test(passthrough, forwardsRequestAndResponseUnchanged)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse}});
    fixture.request("/once/a%20b?q=%2F",
                    "r1",
                    "X-Other: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nTeam: forged\r\n");
    fixture.awaitResponse("hello");
    const std::string &seen = fixture.first.requests().at(0);
    cr_assert(seen.starts_with("POST /once/a%20b?q=%2F HTTP/1.1\r\n"));
    cr_assert(seen.ends_with("\r\n\r\nbody"));
    cr_assert(seen.find("X-Other: 1") != std::string::npos);
    cr_assert(seen.find("Team: club") != std::string::npos);
    for (const char *hidden : {"secret", "forged", "X-Hop"}) {
        cr_assert(seen.find(hidden) == std::string::npos, "%s was forwarded to the server", hidden);
    }
    cr_assert(fixture.received.starts_with("HTTP/1.1 200 OK\r\n"));
    cr_assert(fixture.received.find("Proof: p") != std::string::npos);
}

Test(passthrough, reusesConnectionsOnBothSides)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse, okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("Request-Id: r1");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the first request ends");
    fixture.request("/once/", "r2");
    fixture.awaitResponse("Request-Id: r2");
    cr_assert_eq(fixture.first.connectionCount(), 1);
}

Test(passthrough, rejectsRequestsThatAreNotAllowed)
{
    Fixture fixture;
    fixture.request("/once/", "r1");
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.configure();
    fixture.listServers(false);
    fixture.request("/nowhere/", "r2");
    fixture.awaitResponse("HTTP/1.1 404");
    fixture.send("GET /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer other\r\n\r\n");
    fixture.awaitResponse("HTTP/1.1 401");
    cr_assert_eq(requestCount(fixture), 0);
}

Test(passthrough, forwardsNothingOfAMalformedRequest)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.send("POST /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer "
                 "secret\r\nContent-Length: 4\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: "
                 "x.example\r\n\r\n");
    fixture.awaitResponse("HTTP/1.1 400");
    fixture.awaitClose();
    cr_assert_eq(requestCount(fixture), 0);
}

Test(passthrough, neverForwardsABrokenResponseAsComplete)
{
    const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n";
    const std::string proven = own + "Proof: p\r\n";
    const std::vector<std::string> broken{
        proven + "Content-Length: 9\r\n\r\nhello",
        proven + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        proven + "Transfer-Encoding: chunked\r\n\r\nxx\r\nhello\r\n",
        own + "Content-Length: 5\r\n\r\nhello",
        proven + "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 5\r\n\r\nhello",
        "garbage garbage\r\n\r\n",
        ""};
    for (const std::string &response : broken) {
        Fixture fixture;
        fixture.configure();
        fixture.listServers(true);
        fixture.first.add({{response}, true});
        fixture.second.add({{response}, true});
        fixture.request("/once/", "r1");
        fixture.awaitResponse("HTTP/1.1 502");
        cr_assert_eq(requestCount(fixture),
                     1,
                     "a request that is not idempotent runs once: %s",
                     response.c_str());
    }
}

Test(passthrough, retriesIdempotentRequestsOnAnotherServer)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    // Both servers close the connection without a response.
    fixture.first.add({{""}, true});
    fixture.second.add({{""}, true});
    fixture.request("/safe/", "r1");
    fixture.runUntil([&] { return requestCount(fixture) == 2; },
                     "the request is sent to the second server");
    cr_assert_eq(fixture.first.requests().size(), 1);
    cr_assert_eq(fixture.second.requests().size(), 1);
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(requestCount(fixture), 2, "the attempts of the route are the limit");
}

Test(passthrough, sendsRequestsThatWereNotRunToAnotherServer)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    fixture.first.add({{notRunResponse}});
    fixture.second.add({{notRunResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(fixture.first.requests().size(), 1);
    cr_assert_eq(fixture.second.requests().size(), 1);
    cr_assert(fixture.received.find("Retry-After: ") != std::string::npos);
}

Test(passthrough, skipsALateResponseToAnotherRequest)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    const std::string other
        = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nProof: p\r\nContent-Length: 5\r\n\r\nstale";
    fixture.first.add({{other + okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    cr_assert(fixture.received.find("stale") == std::string::npos);
}

Test(passthrough, doesNotReuseAConnectionWithExtraBytes)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse + "HTTP/1.1 200 OK\r\n"}});
    fixture.first.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("Request-Id: r1");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the first request ends");
    fixture.request("/once/", "r2");
    fixture.awaitResponse("Request-Id: r2");
    cr_assert_eq(fixture.first.connectionCount(), 2);
}

Test(passthrough, resumesABrokenStreamAfterItsLastCompleteEvent)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    const std::string broken = streamHead + chunk(event(1) + event(2) + "id: 3\nda");
    fixture.first.add({{broken}, true});
    fixture.second.add({{broken}, true});
    fixture.request("/resumable/", "r1");
    fixture.runUntil([&] { return requestCount(fixture) == 2; },
                     "the stream is resumed on the other server");
    const auto resumed = [](const ScriptedServer &server) {
        return server.requests().at(0).find("Last-Event-Id: 2\r\n") != std::string::npos;
    };
    cr_assert_neq(resumed(fixture.first),
                  resumed(fixture.second),
                  "exactly one of the two resumes after event 2");
    fixture.awaitClose();
    cr_assert(fixture.received.find("0\r\n\r\n") == std::string::npos,
              "a truncated stream must not look complete");
    cr_assert(fixture.received.find("id: 3") == std::string::npos);
}

Test(passthrough, forwardsACompleteStream)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}});
    fixture.request("/stream/", "r1");
    fixture.awaitResponse("0\r\n\r\n");
    cr_assert(fixture.received.find(event(1)) != std::string::npos);
    cr_assert(fixture.received.find(event(2)) != std::string::npos);
}

Test(passthrough, abortsAStreamThatMayNotBeResumed)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    const std::string broken = streamHead + chunk(event(1));
    fixture.first.add({{broken}, true});
    fixture.second.add({{broken}, true});
    fixture.request("/stream/", "r1");
    fixture.awaitClose();
    cr_assert_eq(requestCount(fixture), 1);
    cr_assert(fixture.received.find("0\r\n\r\n") == std::string::npos);
}

Test(passthrough, releasesTheServerWhenTheCallerDisconnects)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1))}});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("id: 1");
    fixture.disconnect();
    fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; },
                     "the connection to the server is closed");
    cr_assert_eq(requestCount(fixture), 1);
    cr_assert_eq(fixture.passThrough().activeRequests(), 0);
}

Test(passthrough, respondsAtTheDeadline)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.request("/once/", "r1", "Timeout-Ms: 50\r\n");
    fixture.awaitResponse("HTTP/1.1 504");
}

Test(passthrough, closesConnectionsDuringTheShutdown)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{okResponse}});
    fixture.passThrough().stop();
    fixture.request("/once/", "r1");
    fixture.awaitResponse("Connection: close");
    fixture.awaitResponse("hello");
    fixture.awaitClose();
}

/// An error is passed on, but its short latency must not attract the next requests.
Test(passthrough, prefersServersThatDoNotAnswerWithErrors)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    const std::string error = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n"
                              "Content-Length: 0\r\n\r\n";
    fixture.first.add({std::vector<std::string>(6, error)});
    fixture.second.add({std::vector<std::string>(6, okResponse)});
    for (int i = 1; i <= 6; ++i) {
        const std::string id = "r" + std::to_string(i);
        fixture.request("/once/", id);
        fixture.awaitResponse("Request-Id: " + id);
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                         "the request ends");
    }
    cr_assert_leq(fixture.first.requests().size(), 1);
}

/// Guards against servers that get more requests than the limit that they state (LIMIT).
Test(passthrough, aServerGetsNoMoreThanTheLimitThatItStates)
{
    constexpr int requestTotal = 80;
    constexpr double limit = 1;
    const std::string limited = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nLimit: 1\r\n"
                                "Content-Length: 5\r\n\r\nhello";
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    fixture.first.add({std::vector<std::string>(requestTotal, limited)});
    fixture.second.add({std::vector<std::string>(requestTotal, okResponse)});
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < requestTotal; ++i) {
        const std::string id = "r" + std::to_string(i);
        fixture.request("/safe/", id);
        fixture.awaitResponse("Request-Id: " + id + "\r\n");
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                         "the request ends");
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double bound = 1.5 * limit * (seconds + 4) + 5;
    cr_assert_leq(static_cast<double>(fixture.first.requests().size()), bound);
    cr_assert_eq(requestCount(fixture), requestTotal, "no request is lost");
}

Test(passthrough, refusesWithRetryAfterIfAllServersAreLimited)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nLimit: 0.5\r\n"
                        "Content-Length: 5\r\n\r\nhello"}});
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("hello");
    fixture.request("/safe/", "r2");
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.awaitResponse("Retry-After: ");
    cr_assert_eq(requestCount(fixture), 1);
}

/// Guards against a server that is avoided because a request waited for its permit until the
/// deadline.
Test(passthrough, aDeadlineBeforeTheRequestIsSentCountsAgainstNoServer)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    bool isLimited = true;
    LimitControls limits;
    limits.stated = [](const auto &) {};
    limits.isLimited = [&](const auto &) { return isLimited; };
    limits.takePermit = [](const auto &, const auto &, const auto &) {};
    limits.returnPermit = [](const auto &) {};
    fixture.passThrough().setLimits(limits);
    fixture.request("/safe/", "r1", "Timeout-Ms: 20\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    isLimited = false;
    fixture.listSecondElsewhere();
    fixture.first.add({{okResponse}});
    fixture.second.add({{okResponse}});
    fixture.request("/safe/", "r2");
    fixture.awaitResponse("Request-Id: r2\r\n");
    cr_assert_eq(fixture.first.requests().size(), 1);
}

/// The limit belongs to the server that now uses the address.
Test(passthrough, ignoresTheLimitOfAnotherServerAtTheAddress)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{"HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nLimit: 0.5\r\n"
                        "Content-Length: 0\r\n\r\n"},
                       true});
    fixture.first.add({{okResponse, okResponse}});
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("HTTP/1.1 503");
    for (const char *id : {"r2", "r3"}) {
        fixture.request("/safe/", id);
        fixture.awaitResponse("Request-Id: " + std::string(id) + "\r\n");
    }
}

/// Guards against statements of the server that now uses the address of a listed one.
Test(passthrough, ignoresTheLeavingOfAnotherServerAtTheAddress)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{"HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nLeaving: 1\r\n"
                        "Content-Length: 0\r\n\r\n"},
                       true});
    fixture.first.add({{okResponse}});
    fixture.request("/safe/", "r1");
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.request("/safe/", "r2");
    fixture.awaitResponse("Request-Id: r2\r\n");
}

/// Guards against an error response within a stream that has begun.
Test(passthrough, aStreamThatCannotBeResumedIsCutOff)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{streamHead + chunk(event(1))}, true});
    fixture.request("/resumable/", "r1");
    fixture.awaitClose();
    cr_assert(fixture.received.find("data: d1") != std::string::npos);
    cr_assert_eq(fixture.received.rfind("HTTP/1.1"), 0, "a second response head was sent");
    cr_assert(!fixture.received.ends_with("0\r\n\r\n"), "the stream must not look complete");
}

/// Guards against a stream whose events come from two software versions (ORDER), in one response.
Test(passthrough, aBrokenStreamGoesOnOnlyAtTheVersionThatBeganIt)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "");
    fixture.first.add({{streamHead + chunk(event(1))}, false});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("data: d1");
    fixture.listVersions("v1", "v2");
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}});
    fixture.first.closeConnections();
    fixture.awaitClose();
    cr_assert(fixture.received.find("data: d2") == std::string::npos);
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against the same over two attempts of a caller.
Test(passthrough, aCallerResumesAStreamOnlyAtTheVersionThatBeganIt)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "");
    fixture.first.add({{streamHead + chunk(event(1)) + "0\r\n\r\n"}, true});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("0\r\n\r\n");
    fixture.listVersions("v1", "v2");
    for (const char *id : {"r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9"}) {
        fixture.first.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}, true});
        fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}, true});
        fixture.request("/resumable/", id, "Last-Event-Id: 1\r\nResumes: r1\r\n");
        fixture.awaitResponse("Request-Id: " + std::string(id) + "\r\n");
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                         "the request ends");
    }
    cr_assert_eq(fixture.second.requests().size(), 0);
    fixture.listVersions("", "v2");
    fixture.request("/resumable/", "r10", "Last-Event-Id: 1\r\nResumes: r1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(fixture.second.requests().size(), 0, "no server of the version is left");
}

/// Guards against a guess where nobody knows which version began the stream.
Test(passthrough, aStreamOfUnknownOriginIsNotResumedAmongTwoVersions)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "v2");
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\nResumes: r1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 0);
}

/// Guards against a resumption at the version listed now, however recently it became the only one.
Test(passthrough, aStreamWithoutItsAttemptIsNotResumedAtTheNextVersion)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "");
    fixture.first.add({{streamHead + chunk(event(1)) + "0\r\n\r\n"}, true});
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("0\r\n\r\n");
    fixture.listVersions("", "v2");
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}, true});
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against the same in a daemon that has just started, and was told of no stream.
Test(passthrough, aNewDaemonResumesNoStreamWithoutItsAttempt)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("", "v2");
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}, true});
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against the version of the list at placement for a server that had been restarted with
/// another one before the list was read again.
Test(passthrough, aStreamOfARestartedServerIsNotResumedAtItsOldVersion)
{
    const auto longAgo = std::chrono::system_clock::now() - std::chrono::minutes(10);
    Fixture fixture;
    fixture.configure();
    fixture.listRestarted("v1", longAgo, {});
    const auto restartedAt = std::chrono::system_clock::now();
    fixture.first.add({{streamHead + chunk(event(1)) + "0\r\n\r\n"}, true});
    fixture.second.add({{streamHead + chunk(event(2)) + "0\r\n\r\n"}, true});
    // The second server is listed only afterwards, so that the first one begins the stream.
    fixture.request("/resumable/", "r1");
    fixture.awaitResponse("0\r\n\r\n");
    fixture.listRestarted("v2", restartedAt, "v1");
    const std::size_t before = requestCount(fixture);
    fixture.request("/resumable/", "r2", "Last-Event-Id: 1\r\nResumes: r1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), before);
}

/// Guards against an event without end, which filled the memory until the deadline.
Test(passthrough, anEventWithoutEndIsABrokenResponse)
{
    Fixture fixture;
    fixture.configure();
    fixture.listVersions("v1", "");
    const std::string endless = "data: " + std::string(1'000'000, 'x');
    fixture.first.add({{streamHead + chunk(event(1)) + chunk(endless)}});
    fixture.request("/resumable/", "r1");
    fixture.awaitClose();
    fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; }, "the server is released");
    cr_assert_eq(fixture.received.find("xxx"), std::string::npos);
}

/// Guards against the output of a kept turn without end.
Test(passthrough, aKeptTurnWithoutEndIsBrokenOff)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.passThrough().setHistory({[] { return true; }, {}, {}});
    std::string events;
    for (int i = 1; i <= 400; ++i) { // more data than a body may have
        events += event(i);
    }
    fixture.first.add({{streamHead + chunk(events)}});
    fixture.request("/kept/", "r1");
    fixture.awaitClose();
    fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; }, "the server is released");
}

/// Guards against bytes before the response that never end: interim responses, and the late
/// response to another request.
Test(passthrough, bytesWithoutEndBeforeTheResponseBreakTheConnection)
{
    std::string interim;
    for (int i = 0; i < 20'000; ++i) {
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const std::string late
        = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
          + chunk(std::string(500'000, 'x'));
    for (const std::string &bytes : {interim, late}) {
        Fixture fixture;
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{bytes}});
        fixture.request("/once/", "r1");
        fixture.awaitResponse("HTTP/1.1 502");
        fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; },
                         "the server is released");
    }
}

/// Guards against programs that count as begun although their first turn was refused.
Test(passthrough, aProgramBeginsWithATurnThatWasSent)
{
    Fixture fixture;
    fixture.configure();
    fixture.request("/turns/", "r1", "Program: p1\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.listServers(false);
    fixture.first.add({{okResponse, okResponse}});
    for (const char *id : {"r2", "r3"}) {
        fixture.request("/turns/", id, "Program: p1\r\n");
        fixture.awaitResponse("Request-Id: " + std::string(id) + "\r\n");
        fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                         "the request ends");
    }
    using Admission::Urgency;
    const std::vector<Urgency> expected{Urgency::NewProgram, Urgency::NewProgram, Urgency::Started};
    cr_assert(fixture.urgencies == expected);
}

/// Guards against programs that begin while the servers cannot keep up with those in progress.
Test(passthrough, newProgramsAreRefusedWhileTheServersAreFull)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    const std::string full = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nRunning: 90\r\n"
                             "Content-Length: 5\r\n\r\nhello";
    fixture.first.add({{full, full, full}});
    fixture.request("/turns/", "r1", "Program: p1\r\n");
    fixture.awaitResponse("Request-Id: r1\r\n");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; }, "r1 ends");
    fixture.request("/turns/", "r2", "Program: p2\r\n");
    fixture.awaitResponse("HTTP/1.1 503");
    fixture.awaitResponse("Retry-After: ");
    fixture.request("/turns/", "r3", "Program: p1\r\n");
    fixture.awaitResponse("Request-Id: r3\r\n");
    cr_assert_eq(requestCount(fixture), 2, "the program in progress goes on");
}

/// Guards against a program in progress that counts as new at a daemon that has not seen it.
Test(passthrough, aTurnThatContinuesAnotherIsOfAProgramInProgress)
{
    Fixture fixture;
    fixture.configure();
    fixture.passThrough().setHistory({[] { return true; }, [](auto...) {}, {}});
    fixture.request("/kept/", "r1", "Program: p1\r\nPrevious: r0\r\n");
    fixture.runUntil([&] { return !fixture.urgencies.empty(); }, "the rate is checked");
    cr_assert(fixture.urgencies.front() == Admission::Urgency::Started);
}

/// Guards against a request that crashes one server after the other because callers repeat it.
Test(passthrough, aRequestThatCrashedTwoServersIsRefused)
{
    Fixture fixture;
    fixture.configure();
    fixture.first.add({.responses = {streamHead}, .crashesAfterwards = true});
    fixture.listServers(false);
    fixture.request("/stream/a", "1");
    fixture.awaitClose();
    fixture.reconnect();
    fixture.second.add({.responses = {streamHead}, .crashesAfterwards = true});
    fixture.listSecondOnly();
    fixture.request("/stream/a", "2");
    fixture.awaitClose();
    fixture.awaitQuarantine("/stream/a");
    fixture.reconnect();
    fixture.second.restart();
    fixture.request("/stream/a", "3");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 2U);
    fixture.second.add({{okResponse}, false});
    fixture.send("POST /stream/a HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
                 "Request-Id: 4\r\nContent-Length: 5\r\n\r\nother");
    fixture.awaitResponse("hello");
}

/// Guards against the daemon's own repetitions, which need no caller.
Test(passthrough, aRepeatedRequestIsNotSentToAThirdServer)
{
    Fixture fixture;
    fixture.configure();
    fixture.first.add({.responses = {""}, .crashesAfterwards = true});
    fixture.second.add({.responses = {""}, .crashesAfterwards = true});
    fixture.listServers(true);
    fixture.request("/safe/a", "1");
    fixture.awaitResponse("HTTP/1.1 502");
    fixture.awaitQuarantine("/safe/a");
    fixture.first.restart();
    fixture.second.restart();
    fixture.first.add({{okResponse}, false});
    fixture.second.add({{okResponse}, false});
    fixture.request("/safe/a", "2");
    fixture.awaitResponse("HTTP/1.1 503");
    cr_assert_eq(requestCount(fixture), 2U);
    fixture.request("/safe/b", "3");
    fixture.awaitResponse("hello");
}

/// Guards against sound requests that are refused because connections were reset under them.
Test(passthrough, requestsWhoseConnectionsEndAreNoSuspectsIfTheServersLive)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(true);
    for (int attempt = 0; attempt < 8; ++attempt) {
        fixture.first.add({{""}, true});
        fixture.second.add({{""}, true});
        fixture.request("/safe/a", "1");
        fixture.awaitResponse("HTTP/1.1 502");
        fixture.received.clear();
        // The connections that show that the servers live are used first.
        fixture.passThrough().serversChanged({});
        fixture.listServers(true);
    }
    cr_assert_eq(requestCount(fixture), 16U);
}
