#include "relayfixture.h"

namespace {

const std::string unnamedRefusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string unnamedWrongServer = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";

/// Returns a refusal that names the request with the given id.
std::string refusalOf(const std::string &id, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id
           + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// A proxy with a kept connection to the first server, which it prefers to the second one.
class KeptFixture : public Fixture
{
public:
    /// The server writes the given bytes for the second request on the connection.
    explicit KeptFixture(const std::string &next, const std::string &afterNext = "")
    {
        configure();
        listServers(false);
        first.add({{okResponse, next, afterNext}});
        first.add({{okResponse}});
        second.add({{okResponse}});
        request("/once/", "r1");
        awaitResponse("Request-Id: r1");
        awaitEnd();
        listSecondElsewhere();
        received.clear();
    }

    void awaitEnd()
    {
        runUntil([&] { return passThrough().activeRequests() == 0; }, "the request ends");
    }
};

} // namespace

/// Guards against a request that runs at a second server because the first one wrote an earlier
/// refusal once more before its response (TWICE).
Test(staleresponses, aRefusalThatNamesNoRequestIsNotBelievedOnAKeptConnection)
{
    for (const std::string &stale : {unnamedRefusal,
                                     unnamedWrongServer,
                                     unnamedRefusal + unnamedRefusal,
                                     interim + unnamedRefusal,
                                     refusalOf("r1", "503 Busy") + unnamedRefusal}) {
        KeptFixture fixture(stale + okResponse);
        fixture.request("/once/", "r2");
        fixture.awaitResponse("\r\n\r\n");
        cr_assert(fixture.received.starts_with("HTTP/1.1 502"),
                  "%s after %s",
                  fixture.received.c_str(),
                  stale.c_str());
        cr_assert_eq(fixture.first.requests().size(), 2);
        cr_assert_eq(fixture.second.requests().size(), 0, "the request may have run");
    }
}

/// Guards against a refusal of the caller (REFUSED) after a request that may have run, where no
/// other server is left.
Test(staleresponses, aRefusalThatNamesNoRequestPromisesNothingToTheCaller)
{
    for (const char *status : {"503 Busy", "429 Busy", "408 Late", "421 Misdirected"}) {
        KeptFixture fixture("HTTP/1.1 " + std::string(status)
                            + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + okResponse);
        fixture.listServers(false);
        fixture.request("/once/", "r2");
        fixture.awaitResponse("\r\n\r\n");
        cr_assert(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
    }
}

/// Guards against an attempt that does not count because its refusal belonged to another request.
Test(staleresponses, anIdempotentRequestGoesToAnotherServerAfterAnUncertainRefusal)
{
    KeptFixture fixture(unnamedRefusal + okResponse);
    fixture.request("/safe/", "r2");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.second.requests().size(), 1);
}

/// Guards against refusals that are no longer believed where no earlier response exists.
Test(staleresponses, aRefusalThatNamesNoRequestIsBelievedOnANewConnection)
{
    Fixture fixture;
    fixture.configure();
    fixture.listSecondElsewhere();
    fixture.first.add({{unnamedRefusal}});
    fixture.second.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.second.requests().size(), 1);
}

/// Guards against a foreign response on a new connection that makes the next one look certain.
Test(staleresponses, aRefusalAfterAResponseToAnotherRequestIsNotBelieved)
{
    Fixture fixture;
    fixture.configure();
    fixture.listSecondElsewhere();
    fixture.first.add({{refusalOf("r0", "503 Busy") + unnamedRefusal + okResponse}});
    fixture.second.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against refusals that are no longer believed on a kept connection though they name the
/// request.
Test(staleresponses, aRefusalThatNamesTheRequestIsBelievedOnAKeptConnection)
{
    KeptFixture fixture(notRunResponse);
    fixture.request("/once/", "r2");
    fixture.awaitResponse("hello");
    cr_assert_eq(fixture.second.requests().size(), 1);
}

/// Guards against a late refusal of an earlier request that is taken for one of this request.
Test(staleresponses, aLateRefusalOfAnEarlierRequestIsSkipped)
{
    for (const char *status : {"503 Busy", "429 Busy", "408 Late", "421 Misdirected"}) {
        std::string responses = refusalOf("r1", status);
        responses.append(responses).append(interim).append(okResponse);
        KeptFixture fixture(responses);
        fixture.request("/once/", "r2");
        fixture.awaitResponse("hello");
        cr_assert(fixture.received.starts_with("HTTP/1.1 200"), "%s", fixture.received.c_str());
        cr_assert_eq(fixture.second.requests().size(), 0);
    }
}

/// Guards against a server that is avoided or limited because of what an earlier response said.
Test(staleresponses, statementsOfAnUncertainResponseAreIgnored)
{
    KeptFixture fixture("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLeaving: 1\r\nLimit: 0.001\r\n"
                        "Running: 90\r\nContent-Length: 0\r\n\r\n");
    fixture.listServers(false);
    fixture.request("/once/", "r2");
    fixture.awaitResponse("HTTP/1.1 502");
    fixture.awaitEnd();
    fixture.request("/once/", "r3");
    fixture.awaitResponse("Request-Id: r3");
    fixture.awaitResponse("hello");
}

/// Guards against an earlier refusal that comes while the connection is idle.
Test(staleresponses, aConnectionThatGetsBytesWhileIdleIsNotUsed)
{
    for (const std::string &refusal : {unnamedRefusal, refusalOf("r2", "503 Busy")}) {
        KeptFixture fixture(refusal);
        fixture.first.sendNext("r2");
        fixture.runUntil([&] { return fixture.first.closedByPeer() == 1; },
                         "the idle connection is closed");
        fixture.request("/once/", "r2");
        fixture.awaitResponse("hello");
        cr_assert_eq(fixture.first.connectionCount(), 2);
        cr_assert_eq(fixture.second.requests().size(), 0);
    }
}

/// Guards against the same if the bytes have come, but have not been read when the next request is
/// sent.
Test(staleresponses, aRefusalThatComesBeforeTheNextRequestIsNotBelieved)
{
    KeptFixture fixture(unnamedRefusal, okResponse);
    // Both are on their sockets before the loop runs.
    fixture.request("/once/", "r2");
    fixture.first.sendNext("r1");
    fixture.awaitResponse("\r\n\r\n");
    cr_assert_leq(requestCount(fixture), 2, "%s", fixture.received.c_str());
}

/// Guards against an earlier refusal in the same bytes as the end of a response.
Test(staleresponses, aConnectionWithARefusalBehindItsResponseIsNotUsed)
{
    Fixture fixture;
    fixture.configure();
    fixture.listSecondElsewhere();
    fixture.first.add({{okResponse + unnamedRefusal}});
    fixture.first.add({{okResponse}});
    fixture.request("/once/", "r1");
    fixture.awaitResponse("Request-Id: r1");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; }, "r1 ends");
    fixture.request("/once/", "r2");
    fixture.awaitResponse("Request-Id: r2");
    cr_assert_eq(fixture.first.connectionCount(), 2);
    cr_assert_eq(fixture.second.requests().size(), 0);
}

/// Guards against a request without an id that is sent to a second server after the first ran it.
Test(staleresponses, aRequestWithoutAnIdIsRefusedOnlyOnANewConnection)
{
    const std::string request = "POST /once/ HTTP/1.1\r\nHost: x.example\r\n"
                                "Authorization: Bearer secret\r\nContent-Length: 4\r\n\r\nbody";
    KeptFixture fixture(unnamedRefusal);
    fixture.send(request);
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(fixture.second.requests().size(), 0);
    Fixture fresh;
    fresh.configure();
    fresh.listServers(false);
    fresh.first.add({{unnamedRefusal}});
    fresh.send(request);
    fresh.awaitResponse("HTTP/1.1 503");
}

/// Guards against a status that promises the caller that its request was not run, from a server
/// that does not state it (REFUSED).
Test(staleresponses, aRefusalWithoutTheMarkPromisesNothingToTheCaller)
{
    for (const std::string status : {"503 Busy", "429 Busy", "408 Late"}) {
        Fixture fixture;
        fixture.configure();
        fixture.listSecondElsewhere();
        fixture.first.add(
            {{"HTTP/1.1 " + status + "\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"}});
        fixture.second.add({{okResponse}});
        fixture.request("/once/", "r1");
        fixture.awaitResponse("\r\n\r\n");
        cr_assert(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
        cr_assert_eq(fixture.second.requests().size(), 0);
    }
}

/// Guards against the same faults on connections through another daemon, whose own response comes
/// first.
Test(staleresponses, aRefusalThroughARelayIsBelievedOnlyForTheFirstRequest)
{
    RelayFixture fresh(refusingAddress());
    fresh.first.add({{unnamedRefusal}});
    fresh.second.add({{okResponse}});
    fresh.request("/once/", "r1");
    fresh.awaitResponse("hello");
    cr_assert_eq(fresh.second.requests().size(), 1);
    RelayFixture kept(refusingAddress());
    kept.first.add({{okResponse, unnamedRefusal + okResponse}});
    kept.second.add({{okResponse}});
    kept.request("/once/", "r1");
    kept.awaitResponse("hello");
    kept.request("/once/", "r2");
    kept.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(kept.second.requests().size(), 0);
}
