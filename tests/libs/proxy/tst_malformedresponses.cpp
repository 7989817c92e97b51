#include "passthroughfixture.h"
#include "scriptedcall.h"

#include <libs/httplines.h>

namespace {

const std::string named = "Request-Id: {id}\r\nProof: p\r\n";
const std::string inner = "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 5\r\n\r\ninner";
const std::string plainEnd = "Content-Length: 5\r\n\r\nhello";
const std::string chunkedHead
    = "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";

/// Adds a bare line feed, which the client of marjoramd takes as a line end.
std::vector<std::string> malformedLines()
{
    std::vector<std::string> lines = malformedFieldLines;
    lines.emplace_back("X: v\nY: w");
    return lines;
}

std::string statusResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + named + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string responseWithStartLine(const std::string &line)
{
    return line + "\r\n" + named + plainEnd;
}

/// An interim response with these field lines, and behind it one that is complete.
std::string interimAndInner(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" + inner;
}

std::string headWith(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + named + line + "\r\n" + plainEnd;
}

std::string trailersWith(const std::string &line)
{
    return chunkedHead + line + "\r\n\r\n";
}

std::string streamWithTrailer(const std::string &line)
{
    return streamHead + chunk(event(1)) + "0\r\n" + line + "\r\n\r\n";
}

/// What the caller of a server gets that sends the response.
std::string received(const std::string &response, const std::string &path)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add({{response}, true});
    fixture.request(path, "r1");
    fixture.awaitResponse("\r\n\r\n");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the request ends");
    fixture.context().poll();
    return fixture.received;
}

void expectBroken(const std::string &response)
{
    const std::string text = received(response, "/once/");
    cr_expect(text.starts_with("HTTP/1.1 502"), "%s\nto:\n%s", text.c_str(), response.c_str());
}

void expectPassedOn(const std::string &response, const std::string &statusLine)
{
    const std::string text = received(response, "/once/");
    cr_expect(text.starts_with(statusLine), "%s\nto:\n%s", text.c_str(), response.c_str());
}

} // namespace

/// Guards against a response whose status is no number of three digits from 100 to 599, and against
/// the body of one that its caller gets as the response (MIXED).
Test(malformedresponses, aResponseWithoutAStatusIsBroken)
{
    for (const std::string &status : invalidStatuses) {
        expectBroken(statusResponse(status, "hello"));
        expectBroken(statusResponse(status, inner));
    }
    for (const std::string &line : invalidStatusLines) {
        expectBroken(responseWithStartLine(line));
    }
}

/// Guards against the body of an interim response, which has none, that its caller gets as the
/// response.
Test(malformedresponses, anInterimResponseWithABodyIsBroken)
{
    for (const char *status : {"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"}) {
        const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
        expectBroken(interimAndInner(status, length));
        expectBroken(interimAndInner(status, "Transfer-Encoding: chunked\r\n"));
        expectPassedOn(interimAndInner(status, ""), "HTTP/1.1 200 OK\r\n");
        expectPassedOn(interimAndInner(status, "Content-Length: 0\r\n"), "HTTP/1.1 200 OK\r\n");
    }
    expectBroken(interimAndInner("101 Switching Protocols", ""));
}

/// Guards against a check that breaks the responses of sound servers.
Test(malformedresponses, aResponseWithAnyValidStatusIsPassedOn)
{
    for (const std::string &status : validStatuses) {
        const std::string line = std::string("HTTP/1.1 ").append(status).substr(0, 12);
        expectPassedOn(statusResponse(status, "hello"), line);
    }
    expectPassedOn("HTTP/1.0 200 OK\r\n" + named + "\r\nhello", "HTTP/1.1 200 OK");
}

/// Guards against a head with a field that is none and that its caller gets, or whose body is read
/// in another way than the server sent it.
Test(malformedresponses, aHeadWithAMalformedFieldIsBroken)
{
    for (const std::string &line : malformedLines()) {
        expectBroken(headWith(line));
    }
    expectBroken("HTTP/1.1 200 OK\r\n" + named + "Content-Length : 5\r\n\r\nhello");
    for (const std::string &line : soundFieldLines) {
        expectPassedOn(headWith(line), "HTTP/1.1 200 OK");
    }
}

/// Guards against the same behind a chunked body.
Test(malformedresponses, aTrailerWithAMalformedFieldIsBroken)
{
    for (const std::string &line : malformedLines()) {
        expectBroken(trailersWith(line));
        const std::string stream = received(streamWithTrailer(line), "/stream/");
        cr_expect(!stream.ends_with("0\r\n\r\n"), "%s\nafter:\n%s", stream.c_str(), line.c_str());
    }
    for (const std::string &line : soundFieldLines) {
        expectPassedOn(trailersWith(line), "HTTP/1.1 200 OK");
        const std::string stream = received(streamWithTrailer(line), "/stream/");
        cr_expect(stream.ends_with(chunk(event(1)) + "0\r\n\r\n"), "%s", stream.c_str());
    }
}

/// Guards against the same on a connection that had a request before.
Test(malformedresponses, aMalformedResponseOnAKeptConnectionIsBroken)
{
    for (const std::string &response :
         {statusResponse("000", inner), headWith("X Y: v"), trailersWith("X Y: v")}) {
        Fixture fixture;
        fixture.configure();
        fixture.listServers(false);
        fixture.first.add({{okResponse, response}});
        fixture.request("/once/", "r1");
        fixture.awaitResponse("hello");
        fixture.received.clear();
        fixture.request("/once/", "r2");
        fixture.awaitResponse("\r\n\r\n");
        cr_expect(fixture.received.starts_with("HTTP/1.1 502"), "%s", fixture.received.c_str());
        cr_expect_eq(fixture.first.connectionCount(), 1);
    }
}

/// Guards against a malformed response after which a request that may be repeated is not.
Test(malformedresponses, anIdempotentRequestIsRepeatedAfterAMalformedResponse)
{
    for (const std::string &response : {statusResponse("000", inner),
                                        statusResponse("600 Odd", "hello"),
                                        headWith("X Y: v"),
                                        trailersWith("X Y: v")}) {
        Fixture fixture;
        fixture.configure();
        fixture.listSecondElsewhere();
        fixture.first.add({{response}});
        fixture.second.add({{statusResponse("200 OK", "second")}});
        fixture.request("/safe/", "r1");
        fixture.awaitResponse("second");
        cr_expect_eq(requestCount(fixture), 2U);
    }
}

/// Guards against a refusal that says that a request was not run, on the word of a response that
/// cannot be read.
Test(malformedresponses, aMalformedRefusalIsNoPromise)
{
    for (const std::string &response :
         {"HTTP/1.1 000 Busy\r\n" + named + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 603 Busy\r\n" + named + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Busy\r\n" + named + "Not-Run: 1\r\nX Y: v\r\nContent-Length: 0\r\n\r\n"}) {
        expectBroken(response);
    }
}

/// Guards against a malformed answer of the store, or of another daemon, that counts as one.
Test(malformedresponses, aCallWithAMalformedResponseHasNone)
{
    for (const std::string &response : {statusResponse("000", inner),
                                        statusResponse("600 Odd", "hello"),
                                        headWith("X Y: v"),
                                        trailersWith("X Y: v")}) {
        const CallResult result = callServer({{response}, true});
        cr_expect_eq(result.status, 0, "%s", response.c_str());
        cr_expect(result.body.empty() && !result.problem.empty() && !result.isNotSent);
    }
    cr_expect_eq(callServer({{headWith("X-Y: v")}, true}).body, "hello");
    cr_expect_eq(callServer({{trailersWith("X-Y: v")}, true}).body, "hello");
}
