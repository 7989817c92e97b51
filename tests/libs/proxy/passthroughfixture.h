#pragma once

#include "scriptedserver.h"

#include <proxy/endpoint.h>
#include <proxy/passthrough.h>
#include <proxy/quarantinesharing.h>
#include <proxy/requestlimitsharing.h>
#include <proxy/steadyclock.h>
#include <proxy/streamversionsharing.h>

#include <asio/write.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace Proxy;
using Contracts::RouteKind;

inline constexpr auto guardTime = std::chrono::seconds(10);

inline RequestTraits readRequest(const RequestHead &head)
{
    RequestTraits traits;
    traits.id = std::string(head.headers.find("Request-Id").value_or(""));
    if (const auto previous = head.headers.find("Previous")) {
        traits.previousTurn = std::string(*previous);
        traits.isPreviousTurnMalformed = previous->empty();
    }
    if (const auto program = head.headers.find("Program")) {
        traits.program = Base::ProgramId(std::string(*program));
        traits.programBudget = Base::Tokens(100);
    }
    if (const auto last = head.headers.find("Last-Event-Id")) {
        traits.lastEventId = std::string(*last);
    }
    if (const auto output = head.headers.find("Max-Output")) {
        traits.maxOutput = Base::Tokens(std::stoi(std::string(*output)));
    }
    traits.resumedAttempt = std::string(head.headers.find("Resumes").value_or(""));
    if (const auto timeout = head.headers.find("Timeout-Ms")) {
        traits.callerTimeout = std::chrono::milliseconds(std::stoi(std::string(*timeout)));
    }
    return traits;
}

inline ResponseTraits readResponse(const ResponseHead &head)
{
    ResponseTraits traits;
    traits.id = std::string(head.headers.find("Request-Id").value_or(""));
    traits.isNotRun = head.headers.contains("Not-Run");
    traits.isWrongServer = head.status == 421;
    traits.isAuthentic = head.headers.contains("Proof");
    traits.isServerLeaving = head.headers.contains("Leaving");
    if (const auto running = head.headers.find("Running")) {
        traits.load = {static_cast<std::uint32_t>(std::stoi(std::string(*running))), 0, 4};
    }
    if (const auto limit = head.headers.find("Limit")) {
        traits.requestLimit = Base::RequestRate(std::stod(std::string(*limit)));
    }
    return traits;
}

inline void prepareForward(HeaderFields &headers, const ForwardTraits &forward)
{
    headers.remove("Authorization");
    headers.set("Team", forward.team.text());
    headers.set("Server", forward.server.text());
    if (forward.resumeAfter) {
        headers.set("Last-Event-Id", *forward.resumeAfter);
    }
}

inline const std::string okResponse
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Length: 5\r\n\r\nhello";
inline const std::string notRunResponse
    = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
inline const std::string streamHead
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nProof: p\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

inline Contracts::Route route(const std::string &prefix, RouteKind kind, std::uint32_t attempts)
{
    Contracts::Route result;
    result.id = Contracts::RouteId(prefix);
    result.host = "x.example";
    result.pathPrefix = prefix;
    result.kind = kind;
    result.isResumable = prefix == "/resumable/";
    result.isHistoryKept = prefix == "/kept/";
    if (prefix == "/turns/" || prefix == "/kept/") {
        result.programRetention = std::chrono::seconds(60);
    }
    result.services = {{Base::ServiceId("s"), 1}};
    result.attempts = attempts;
    return result;
}

inline Contracts::RoutingDocument routing()
{
    Contracts::RoutingDocument document;
    document.version = Base::ConfigVersion(1);
    document.services = {{Base::ServiceId("s")}};
    document.routes = {route("/safe/", RouteKind::Idempotent, 2),
                       route("/once/", RouteKind::NonIdempotent, 2),
                       route("/stream/", RouteKind::Stream, 1),
                       route("/resumable/", RouteKind::Stream, 2),
                       route("/kept/", RouteKind::Stream, 1),
                       route("/turns/", RouteKind::Stream, 1)};
    document.limits.bodyBytes = 1000;
    Contracts::RoutedTeam team;
    team.team.id = Base::TeamId("club");
    Contracts::Key key;
    key.hash = Contracts::hashSecret("secret");
    team.team.keys = {key};
    document.teams = {team};
    return document;
}

/// The addresses of a fixture's parts; the system chooses their ports by default.
struct FixtureAddresses
{
    asio::ip::tcp::endpoint proxy{asio::ip::address_v4::loopback(), 0};
    asio::ip::tcp::endpoint first{asio::ip::address_v4::loopback(), 0};
    asio::ip::tcp::endpoint second{asio::ip::address_v4::loopback(), 0};
    asio::ip::tcp::endpoint relay{asio::ip::address_v4::loopback(), 0};
};

/// A caller, the proxy and two servers on one event loop.
class Fixture
{
public:
    explicit Fixture(PassThroughSettings settings = {},
                     const FixtureAddresses &addresses = {},
                     HeaderTranslator translator = {&readRequest, &readResponse, &prepareForward})
        : passThrough_(context_,
                       std::move(settings),
                       std::move(translator),
                       controls(),
                       silentLog(),
                       metrics_,
                       1)
        , peers_(context_, vm(), {}, silentLog(), metrics_, 1, &steadyNow)
        , rates_(context_, vm(), peers_, &steadyNow)
        , limits_(vm(), rates_, peers_, silentLog(), metrics_, &steadyNow)
        , streams_(peers_, metrics_, &steadyNow)
        , quarantine_(vm(), rates_, peers_, silentLog(), metrics_, &steadyNow)
        , acceptor_(context_, addresses.proxy)
        , caller_(context_)
        , first(context_, addresses.first)
        , second(context_, addresses.second)
    {
        passThrough_.setLimits(limitControls(limits_));
        passThrough_.setStreams(streamControls(streams_));
        passThrough_.setQuarantine(quarantineControls(quarantine_));
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

    void listSecondOnly() { passThrough_.serversChanged({listed("two", second)}); }

    /// Lists both servers; the second one is in another availability zone than the proxy.
    void listSecondElsewhere()
    {
        std::vector<Dispatch::ListedServer> servers{listed("one", first), listed("two", second)};
        servers.back().server.zone = Base::ZoneId("elsewhere");
        passThrough_.serversChanged(servers);
    }

    /// Lists both servers with the given software versions; a server without one is not listed.
    void listVersions(const std::string &versionOfFirst, const std::string &versionOfSecond)
    {
        std::vector<Dispatch::ListedServer> servers;
        if (!versionOfFirst.empty()) {
            servers.push_back(listed("one", first));
            servers.back().version = Base::SoftwareVersion(versionOfFirst);
        }
        if (!versionOfSecond.empty()) {
            servers.push_back(listed("two", second));
            servers.back().version = Base::SoftwareVersion(versionOfSecond);
        }
        passThrough_.serversChanged(servers);
    }

    /// Lists the first server as a process that started at the given time of the system clock, and
    /// the second one with the given version; without one, it is not listed.
    void listRestarted(const std::string &versionOfFirst,
                       std::chrono::system_clock::time_point startedAt,
                       const std::string &versionOfSecond)
    {
        std::vector<Dispatch::ListedServer> servers{listed("one", first), listed("two", second)};
        servers[0].version = Base::SoftwareVersion(versionOfFirst);
        servers[0].startedAt = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(startedAt.time_since_epoch())
                .count());
        servers[1].version = Base::SoftwareVersion(versionOfSecond);
        if (versionOfSecond.empty()) {
            servers.pop_back();
        }
        passThrough_.serversChanged(servers);
    }

    void send(const std::string &bytes) { asio::write(caller_, asio::buffer(bytes)); }

    /// Sends a request with a body of so many bytes while the loop runs.
    void upload(const std::string &path, const std::string &id, std::size_t bodySize)
    {
        const auto bytes = std::make_shared<std::string>(
            "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer secret\r\n"
            + "Request-Id: " + id + "\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n"
            + std::string(bodySize, 'u'));
        // A failure shows where the response is read.
        asio::async_write(
            caller_, asio::buffer(*bytes), [bytes](const std::error_code &, std::size_t) {});
    }

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

    /// Runs the loop until requests with the usual body are kept from the servers.
    void awaitQuarantine(const std::string &path)
    {
        const auto request = Dispatch::fingerprintsOf(Base::TeamId("club"), path, "body");
        runUntil([&] { return quarantine_.isQuarantined(request); }, "the request is quarantined");
    }

    void disconnect() { caller_.close(); }

    /// Closes the caller's connection with a reset, so that it occupies no port afterwards.
    void resetCaller()
    {
        std::error_code ignored;
        caller_.set_option(asio::socket_base::linger(true, 0), ignored);
        caller_.close(ignored);
    }

    /// Continues with a new connection of the caller.
    void reconnect()
    {
        caller_ = asio::ip::tcp::socket(context_);
        caller_.connect(acceptor_.local_endpoint());
        received.clear();
        isClosed = false;
        readCaller();
    }

    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    PassThrough &passThrough() { return passThrough_; }
    asio::io_context &context() { return context_; }

protected:
    /// Shared by all fixtures, as the log library can be started only once per process.
    static Telemetry::Log &silentLog()
    {
        static Telemetry::Log log(
            {.file = {}, .level = Telemetry::LogLevel::Error, .daemon = {}, .keyPrefixes = {}});
        return log;
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

private:
    AdmissionControls controls()
    {
        AdmissionControls result;
        result.takePermit = [this](const auto &, Admission::Urgency urgency, const auto &callback) {
            urgencies.push_back(urgency);
            callback({});
        };
        result.returnPermit = [](const auto &) {};
        result.reserveTokens = [](const auto &, auto, const auto &callback) {
            callback(BudgetVerdict::Admitted);
            return Programs::ReservationId(1);
        };
        result.settleTokens = [](auto, auto) {};
        return result;
    }

    static Base::VmId vm() { return Base::VmId("vm-1"); }

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
                                        closeError = error;
                                        return;
                                    }
                                    received.append(buffer_.data(), size);
                                    readCaller();
                                });
    }

    asio::io_context context_;
    Telemetry::Metrics metrics_;
    PassThrough passThrough_;
    PeerLink peers_;
    RateSharing rates_;
    RequestLimitSharing limits_;
    StreamVersionSharing streams_;
    QuarantineSharing quarantine_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket caller_;
    std::array<char, 4096> buffer_{};

public:
    ScriptedServer first;
    ScriptedServer second;
    std::string received;
    bool isClosed = false;
    std::error_code closeError;
    /// Urgency of each request for a permit.
    std::vector<Admission::Urgency> urgencies;
};

inline std::size_t requestCount(const Fixture &fixture)
{
    return fixture.first.requests().size() + fixture.second.requests().size();
}
