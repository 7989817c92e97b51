#include "passthroughfixture.h"

namespace {

const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
const std::string late
    = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nProof: p\r\nContent-Length: 5\r\n\r\nother";
const std::string chunkedHead
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunkedRequestHead
    = "POST /once/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
      "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string body = "5\r\nhello\r\n";

std::string repeat(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::string extension(int size)
{
    return ";" + std::string(static_cast<std::size_t>(size), 'x');
}

/// Chunks of one byte with an extension each.
std::string extendedChunks(int count, int extensionSize)
{
    return repeat("1" + extension(extensionSize) + "\r\nx\r\n", count);
}

/// Returns the start of what the caller of a faulty server receives.
std::string responseTo(const ScriptedServer::Script &script)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.add(script);
    fixture.request("/once/", "r1");
    fixture.awaitResponse("\r\n\r\n");
    fixture.runUntil([&] { return fixture.passThrough().activeRequests() == 0; },
                     "the request ends");
    return fixture.received.substr(0, fixture.received.find("\r\n"));
}

/// Returns the start of the response to a request that is sent verbatim.
std::string responseToRequest(const std::string &request)
{
    Fixture fixture;
    fixture.configure();
    fixture.listServers(false);
    fixture.first.setResponder([](const std::string &) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n";
    });
    fixture.send(request);
    fixture.awaitResponse("\r\n\r\n");
    return fixture.received.substr(0, fixture.received.find("\r\n"));
}

} // namespace

/// Guards against responses of sound servers that are broken off by the bounds.
Test(skippedbytes, aFewBytesThatAreNoAnswerAreSkipped)
{
    const std::vector<std::string> responses{
        "\r\n\r\n" + okResponse,
        repeat(interim, 8) + okResponse,
        repeat(late, 4) + okResponse,
        repeat(late + interim, 4) + okResponse,
        chunkedHead + "5" + extension(100) + "\r\nhello\r\n0\r\nDigest: x\r\n\r\n",
        chunkedHead + repeat("1\r\nx\r\n", 9'000) + "0\r\n\r\n",
        chunkedHead + extendedChunks(2'000, 8) + "0\r\n\r\n",
    };
    for (const std::string &response : responses) {
        const std::string first = responseTo({{response}});
        cr_expect(first.starts_with("HTTP/1.1 200"),
                  "%s to %s",
                  first.c_str(),
                  response.substr(0, 200).c_str());
    }
}

/// Guards against bytes that are no part of a response and that a daemon reads and skips in such
/// numbers that the requests to sound servers wait for its processor.
Test(skippedbytes, aResponseWithMoreBytesThatAreNoAnswerIsBroken)
{
    struct Case
    {
        const char *name;
        std::string response;
    };
    const std::vector<Case> cases{
        {"empty lines", repeat("\r\n", 100) + okResponse},
        {"interim responses", repeat(interim, 17) + okResponse},
        {"late responses", repeat(late, 17) + okResponse},
        {"late and interim responses", repeat(late + interim, 9) + okResponse},
        {"one chunk extension", chunkedHead + "5" + extension(6'000) + "\r\nhello\r\n0\r\n\r\n"},
        {"chunk extensions", chunkedHead + extendedChunks(200, 100) + "0\r\n\r\n"},
        {"trailers", chunkedHead + body + "0\r\n" + repeat("A: b\r\n", 1'000) + "\r\n"},
    };
    for (const Case &each : cases) {
        const std::string first = responseTo({{each.response}});
        cr_expect(first.starts_with("HTTP/1.1 502"), "%s: %s", each.name, first.c_str());
    }
}

/// Guards against a faulty server whose bytes are read until the deadline of the request.
Test(skippedbytes, bytesWithoutEndThatAreNoAnswerAreNotReadUntilTheDeadline)
{
    const std::vector<ScriptedServer::Script> scripts{
        {.responses = {""}, .endlessTail = "\r\n"},
        {.responses = {""}, .endlessTail = interim},
        {.responses = {""}, .endlessTail = late},
        {.responses = {chunkedHead + "1;"}, .endlessTail = "x"},
        {.responses = {chunkedHead}, .endlessTail = "1" + extension(1'000) + "\r\nx\r\n"},
        {.responses = {chunkedHead + body + "0\r\n"}, .endlessTail = "A: b\r\n"},
    };
    for (const ScriptedServer::Script &script : scripts) {
        const std::string first = responseTo(script);
        cr_expect(first.starts_with("HTTP/1.1 502"),
                  "%s to %s",
                  first.c_str(),
                  script.endlessTail.c_str());
    }
}

/// Guards against callers that keep a daemon busy with bytes that belong to no request.
Test(skippedbytes, aRequestWithManyBytesOfNoMeaningIsMalformed)
{
    const std::string chunked = chunkedRequestHead;
    const std::vector<std::string> accepted{
        "\r\n\r\n" + chunked + body + "0\r\n\r\n",
        chunked + "5" + extension(100) + "\r\nhello\r\n0\r\nDigest: x\r\n\r\n",
        chunked + repeat("1\r\nx\r\n", 900) + "0\r\n\r\n",
    };
    const std::vector<std::string> malformed{
        repeat("\r\n", 100),
        repeat("\r\n", 100) + chunked + body + "0\r\n\r\n",
        chunked + "5" + extension(6'000),
        chunked + extendedChunks(200, 100),
        chunked + body + "0\r\n" + repeat("A: b\r\n", 1'000),
    };
    for (const std::string &request : malformed) {
        const std::string first = responseToRequest(request);
        cr_expect(first.starts_with("HTTP/1.1 400"),
                  "%s to %s",
                  first.c_str(),
                  request.substr(0, 200).c_str());
    }
    // Servers read a request with a length, as the daemon sends it.
    for (const std::string &request : accepted) {
        const std::string first = responseToRequest(request);
        cr_expect(first.starts_with("HTTP/1.1 200"),
                  "%s to %s",
                  first.c_str(),
                  request.substr(0, 200).c_str());
    }
}

/// Guards against a server that breaks the protocol and gets the next request although another one
/// is there, because that one has more to do.
Test(skippedbytes, aServerThatBreaksAResponseDoesNotGetTheNextRequest)
{
    Fixture fixture;
    fixture.configure();
    fixture.second.add({{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nRunning: 90\r\n"
                         "Content-Length: 5\r\n\r\nhello",
                         okResponse}});
    fixture.first.add({{chunkedHead + "5" + extension(6'000)}});
    fixture.first.add({{okResponse}});
    fixture.listSecondOnly();
    fixture.request("/once/", "r1");
    fixture.awaitResponse("Request-Id: r1");
    fixture.awaitResponse("hello");
    fixture.listSecondElsewhere();
    fixture.request("/once/", "r2");
    fixture.awaitResponse("HTTP/1.1 502");
    cr_assert_eq(fixture.first.requests().size(), 1);
    fixture.request("/once/", "r3");
    fixture.awaitResponse("Request-Id: r3");
    cr_assert_eq(fixture.first.requests().size(), 1, "the faulty server got the next request");
}
