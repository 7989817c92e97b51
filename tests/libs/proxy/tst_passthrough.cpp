#include "scriptedserver.h"

#include <proxy/passthrough.h>

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace Proxy;
using Contracts::RouteKind;

namespace {

constexpr auto guardTime = std::chrono::seconds(10);

RequestTraits readRequest(const RequestHead &head)
{
    RequestTraits traits;
    traits.id = std::string(head.headers.find("Request-Id").value_or(""));
    if (const auto timeout = head.headers.find("Timeout-Ms")) {
        traits.callerTimeout = std::chrono::milliseconds(std::stoi(std::string(*timeout)));
    }
    return traits;
}

ResponseTraits readResponse(const ResponseHead &head)
{
    ResponseTraits traits;
    traits.id = std::string(head.headers.find("Request-Id").value_or(""));
    traits.isNotRun = head.headers.contains("Not-Run");
    traits.isWrongServer = head.status == 421;
    traits.isAuthentic = head.headers.contains("Proof");
    return traits;
}

void prepareForward(HeaderFields &headers, const ForwardTraits &forward)
{
    headers.remove("Authorization");
    headers.set("Team", forward.team.text());
    headers.set("Server", forward.server.text());
    if (forward.resumeAfter) {
        headers.set("Last-Event-Id", *forward.resumeAfter);
    }
}

const std::string okResponse
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Length: 5\r\n\r\nhello";
const std::string notRunResponse
    = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string streamHead
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

Contracts::Route route(const std::string &prefix, RouteKind kind, std::uint32_t attempts)
{
    Contracts::Route result;
    result.id = Contracts::RouteId(prefix);
    result.host = "x.example";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.isResumable = prefix == "/resumable/";
    result.services = {{Base::ServiceId("s"), 1}};
    result.attempts = attempts;
    return result;
}

Contracts::RoutingDocument routing()
{
    Contracts::RoutingDocument document;
    document.version = Base::ConfigVersion(1);
    document.services = {{Base::ServiceId("s")}};
    document.routes = {route("/safe/", RouteKind::Idempotent, 2),
                       route("/once/", RouteKind::NonIdempotent, 2),
                       route("/stream/", RouteKind::Stream, 1),
                       route("/resumable/", RouteKind::Stream, 2)};
    Contracts::RoutedTeam team;
    team.team.id = Base::TeamId("club");
    Contracts::Key key;
    key.hash = Contracts::hashSecret("secret");
    team.team.keys = {key};
    document.teams = {team};
    return document;
}

/// A caller, the proxy and two servers on one event loop.
class Fixture
{
public:
    Fixture()
        : passThrough_(context_,
                       {},
                       {&readRequest, &readResponse, &prepareForward},
                       controls(),
                       silentLog(),
                       metrics_,
                       1)
        , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , caller_(context_)
        , first(context_)
        , second(context_)
    {
        accept();
        caller_.connect(acceptor_.local_endpoint());
        readCaller();
    }

    void configure() { passThrough_.configure(routing()); }

    void listServers(bool hasSecond)
    {
        std::vector<Dispatch::ListedServer> servers{listed("one", first)};
        if (hasSecond) {
            servers.push_back(listed("two", second));
        }
        passThrough_.serversChanged(servers);
    }

    void send(const std::string &bytes) { asio::write(caller_, asio::buffer(bytes)); }

    void request(const std::string &path, const std::string &id, const std::string &more = "")
    {
        send("POST " + path
             + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\nRequest-Id: " + id
             + "\r\nContent-Length: 4\r\n" + more + "\r\nbody");
    }

    /// Runs the loop until the condition holds; fails the test after guardTime.
    void runUntil(const std::function<bool()> &condition, const char *what)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < end,
                      "timed out: %s; received: %s",
                      what,
                      received.c_str());
            context_.run_one_for(std::chrono::milliseconds(20));
        }
    }

    void awaitResponse(const std::string &text)
    {
        runUntil([&] { return received.find(text) != std::string::npos; }, text.c_str());
    }

    void awaitClose()
    {
        runUntil([&] { return isClosed; }, "the caller's connection is closed");
    }

    void disconnect() { caller_.close(); }
    PassThrough &passThrough() { return passThrough_; }

private:
    /// Shared by all fixtures, as the log library can be started only once per process.
    static Telemetry::Log &silentLog()
    {
        static Telemetry::Log log(
            {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
        return log;
    }

    static AdmissionControls controls()
    {
        AdmissionControls result;
        result.takePermit = [](const auto &, auto, const auto &callback) { callback({}); };
        result.returnPermit = [](const auto &) {};
        return result;
    }

    static Dispatch::ListedServer listed(const std::string &id, const ScriptedServer &server)
    {
        Dispatch::ListedServer result;
        result.server.id = Base::ServerId(id);
        result.server.service = Base::ServiceId("s");
        result.server.address = server.address();
        result.server.slots = 4;
        return result;
    }

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                const auto connection = std::make_shared<CallerConnection>(
                    std::move(socket), passThrough_.callerHandlers());
                passThrough_.addConnection(connection);
                connection->start();
                accept();
            }
        });
    }

    void readCaller()
    {
        caller_.async_read_some(asio::buffer(buffer_),
                                [this](const std::error_code &error, std::size_t size) {
                                    if (error) {
                                        isClosed = true;
                                        return;
                                    }
                                    received.append(buffer_.data(), size);
                                    readCaller();
                                });
    }

    asio::io_context context_;
    Telemetry::Metrics metrics_;
    PassThrough passThrough_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket caller_;
    std::array<char, 4096> buffer_{};

public:
    ScriptedServer first;
    ScriptedServer second;
    std::string received;
    bool isClosed = false;
};

std::size_t requestCount(const Fixture &fixture)
{
    return fixture.first.requests().size() + fixture.second.requests().size();
}

} // namespace

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
