#include "crowdenvironment.h"

#include <soak/floodenvironment.h>

#include <criterion/criterion.h>

#include <iostream>

namespace Crowd {

namespace {

constexpr std::int64_t megabyte = 1'000'000;

/// Descriptors that the platform reserves for files.
constexpr int fileDescriptors = 200;

constexpr const char *metricsRequest
    = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

std::filesystem::path makeFolder()
{
    std::string name = std::filesystem::temp_directory_path() / "tst_crowd.XXXXXX";
    cr_assert(mkdtemp(name.data()) != nullptr);
    return name;
}

/// An endless stream of events, as fast as it is read.
Soak::FloodResponse endlessEvents()
{
    constexpr std::size_t eventBytes = 0x4000;
    std::string event = "data: " + std::string(eventBytes, 'x');
    event.resize(eventBytes - 2);
    event += "\n\n";
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: crowd\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4000\r\n" + event + "\r\n"};
}

Soak::FloodResponse shortResponse()
{
    return {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: crowd\r\n"
            "Content-Length: 2\r\n\r\nok",
            {}};
}

} // namespace

std::string soundRequest()
{
    return "GET /sound/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: ordinary\r\n"
           "X-Program-Id: ordinary\r\nX-Session-Id: ordinary\r\nX-Deadline-Ms: 20000\r\n"
           "Authorization: Bearer sound-key\r\nConnection: close\r\n\r\n";
}

std::string requestHead(const std::string &method,
                        const std::string &lines,
                        const std::string &route)
{
    return method + " /" + route
           + "/x HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: crowd\r\n"
             "X-Program-Id: crowd\r\nX-Session-Id: crowd\r\nX-Deadline-Ms: 20000\r\n"
             "Authorization: Bearer flood-key\r\n"
           + lines + "\r\n";
}

CrowdEnvironment::CrowdEnvironment(const std::string &role, const ProcessLimits &limits)
    : limits_(limits)
    , folder_(makeFolder())
    , store_(context_)
    , faulty_("i-faulty", "faulty", endlessEvents())
    , sound_("i-sound", "sound", shortResponse())
    , daemons_({MARJORAM_NODE,
                folder_,
                "127." + std::to_string(64 + getpid() % 128) + ".252.",
                store_.endpoint(),
                {{"memory_mb", limits.memoryMegabytes}, {"max_fds", limits.maxDescriptors}}})
{
    store_.put("servers", faulty_.id(), faulty_.entry());
    store_.put("servers", sound_.id(), sound_.entry());
    store_.put("config", "main", Soak::floodConfiguration(false));
    storeThread_ = std::jthread([this] { context_.run(); });
    daemons_.start(role, 1, 10);
    watch_.emplace(daemons_.all().front().process->pid(), daemons_.all().front().ip);
    // A front that is ready may still lack the rates that other daemons grant.
    const bool isFront = role == "front";
    const int port = isFront ? Soak::FloodPorts::callers : Soak::FloodPorts::turns;
    const std::string request = isFront ? soundRequest() : metricsRequest;
    constexpr int attempts = 400;
    int status = 0;
    for (int i = 0; i < attempts && status != 200; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
        status = ordinaryRequest(endpoint(port), request);
    }
    assertStatus(status, "at the start");
}

CrowdEnvironment::~CrowdEnvironment()
{
    watch_.reset();
    context_.stop();
    std::filesystem::remove_all(folder_);
}

asio::ip::tcp::endpoint CrowdEnvironment::endpoint(int port) const
{
    return {asio::ip::make_address(daemons_.all().front().ip), static_cast<std::uint16_t>(port)};
}

void CrowdEnvironment::hold(int port, CrowdRequest request, int count)
{
    crowds_.emplace_back(std::move(request), endpoint(port), count).awaitQuiet();
}

void CrowdEnvironment::holdLateReaders(int count)
{
    Soak::FloodRequest request{"POST", "/events/x", "flood-key", 4};
    request.isReading = false;
    lateReaders_ = std::make_unique<Soak::FloodCallers>(
        "late", request, std::vector{endpoint(Soak::FloodPorts::callers)}, count);
}

void CrowdEnvironment::leave()
{
    lateReaders_.reset();
    crowds_.clear();
}

void CrowdEnvironment::assertStatus(int status, const char *when)
{
    cr_expect_eq(status, 200, "ordinary request %s: status %d", when, status);
}

void CrowdEnvironment::assertServed(int port, const std::string &text, const char *when)
{
    assertStatus(ordinaryRequest(endpoint(port), text), when);
}

void CrowdEnvironment::assertServedLocally(int port, const std::string &text, const char *when)
{
    assertStatus(ordinaryRequest(endpoint(port), text, address()), when);
}

void CrowdEnvironment::assertWithinLimits()
{
    const auto exited = daemons_.all().front().process->poll();
    cr_expect(!exited, "the daemon exited with wait status %d", exited.value_or(0));
    watch_->sample();
    const ProcessUse most = watch_->most();
    const auto megabytes = [](std::int64_t bytes) {
        return static_cast<double>(bytes) / static_cast<double>(megabyte);
    };
    std::cout << "resident " << megabytes(most.residentBytes) << " MB, unread "
              << megabytes(most.unreadBytes) << " MB, together " << megabytes(most.memoryBytes)
              << " of " << limits_.memoryMegabytes << " MB; " << most.sockets << " of "
              << limits_.maxDescriptors - fileDescriptors << " sockets" << std::endl;
    cr_expect_leq(most.memoryBytes,
                  limits_.memoryMegabytes * megabyte,
                  "memory: %.1f MB of %d",
                  megabytes(most.memoryBytes),
                  limits_.memoryMegabytes);
    cr_expect_leq(most.sockets,
                  limits_.maxDescriptors - fileDescriptors,
                  "sockets: %zu of %d",
                  most.sockets,
                  limits_.maxDescriptors - fileDescriptors);
}

} // namespace Crowd
