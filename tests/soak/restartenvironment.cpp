#include "restartenvironment.h"

#include <proxy/steadyclock.h>

#include <asio/ip/udp.hpp>

#include <csignal>
#include <fstream>
#include <map>

namespace Soak {

namespace {

using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

constexpr int frontCount = 3;
/// Enough that most fronts get no notice of a stream.
constexpr int manyFronts = 6;
constexpr int callerCount = 24;
constexpr int eventsBeforeBreak = 2;
constexpr std::size_t restarted = 1;

/// Time for the daemons to know each other, and of streams in calm before a fault.
constexpr auto startTime = Milliseconds(2000);
constexpr auto calmTime = Milliseconds(1500);
constexpr auto faultTime = Milliseconds(6000);

/// The server is down for this time, and a store that does not answer does so from before until
/// well after.
constexpr auto downTime = Milliseconds(600);
constexpr auto outageBefore = Milliseconds(500);
constexpr auto outageAfter = Milliseconds(3500);

/// Times for which one front is out of step: within and beyond the 2 s for which a daemon takes its
/// list for the current one.
constexpr auto shortTime = Milliseconds(1600);
constexpr auto longTime = Milliseconds(3500);

json route()
{
    return {{"name", "turns"},
            {"host", "soak.example"},
            {"path_prefix", "/turns/"},
            {"kind", "stream"},
            {"service", "engine"},
            {"attempts", 3},
            {"timeout_ms", 5000},
            {"goal_ms", 250},
            {"resumable", true},
            {"retain_s", 60}};
}

} // namespace

std::vector<std::string> restartScenarios()
{
    return {"outage",
            "late-entry",
            "later-entry",
            "stopped-join",
            "stopped-restart",
            "cut-join",
            "cut-restart",
            "stopped-unrecorded",
            "stopped-briefly",
            "chain",
            "equal"};
}

RestartEnvironment::RestartEnvironment(RestartSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
    , store_(context_)
{
    const auto addServer = [this](const std::string &version) {
        servers_.push_back(std::make_unique<BackendStub>(context_,
                                                         "i-" + std::to_string(servers_.size()),
                                                         "engine",
                                                         version,
                                                         ledger_,
                                                         &Proxy::steadyNow,
                                                         random_.next()));
    };
    addServer("v1");
    addServer("v1");
    for (const auto &server : servers_) {
        list(*server);
    }
    addServer("v2"); // joins later, if at all
    store_.put("config", "main", configuration());
    for (int i = 0; i < callerCount; ++i) {
        const std::string name = "c" + std::to_string(i);
        callers_.push_back({std::make_shared<StreamCaller>(context_, name), i});
    }
}

json RestartEnvironment::configuration() const
{
    return {{"version", 1},
            {"routes", {route()}},
            {"services", {{{"name", "engine"}}}},
            {"tenants", {{{"name", "team"}, {"api_keys", {"key"}}}}},
            {"limits",
             {{"header_bytes", 16384},
              {"body_bytes", 1048576},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 10000}}}};
}

void RestartEnvironment::list(const BackendStub &server)
{
    store_.put("servers", server.id(), server.entry(false));
}

void RestartEnvironment::startDaemons(const std::string &role, int count, int firstAddress)
{
    constexpr int network = 252;
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        addresses.push_back(daemonAddress(network, firstAddress + i));
    }
    for (int i = 0; i < count; ++i) {
        Daemon daemon{
            {role + "-" + std::to_string(i), role, addresses[static_cast<std::size_t>(i)]}};
        daemon.store = std::make_unique<FaultRelay>(
            context_,
            asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
            store_.endpoint());
        const std::filesystem::path file = settings_.folder / (daemon.name + ".json");
        std::ofstream(file) << daemonSettings(
                                   daemon, addresses, daemon.store->endpoint(), settings_.folder)
                                   .dump(2);
        daemon.process = std::make_unique<DaemonProcess>(
            settings_.program, role, file, settings_.folder / (daemon.name + ".log"));
        daemon.process->start();
        if (role == "front") {
            fronts_.emplace_back(asio::ip::make_address(daemon.ip), callerPort);
        }
        daemons_.push_back(std::move(daemon));
    }
}

void RestartEnvironment::schedule(Milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const std::error_code &) { action(); });
}

void RestartEnvironment::watchDaemons()
{
    constexpr auto interval = Milliseconds(50);
    for (Daemon &daemon : daemons_) {
        if (const std::optional<int> status = daemon.process->poll()) {
            result_.exited.push_back(daemon.name + ", wait status " + std::to_string(*status));
        }
    }
    schedule(interval, [this] { watchDaemons(); });
}

void RestartEnvironment::setStoreFault(LinkFault fault)
{
    for (Daemon &daemon : daemons_) {
        daemon.store->setFault(fault);
        if (fault == LinkFault::None) {
            daemon.store->resetAll(); // discards the data that was held back
        }
    }
}

/// The new process begins streams that it does not finish.
void RestartEnvironment::beginRestart(Milliseconds entryAfter)
{
    constexpr int eventsOfNewProcess = 3;
    BackendStub &server = *servers_[restarted];
    server.stop();
    schedule(downTime, [&server] {
        server.start("v2");
        server.breakStreamsAfter(eventsOfNewProcess);
    });
    schedule(downTime + entryAfter, [this, &server] { list(server); });
}

void RestartEnvironment::restartInOutage()
{
    setStoreFault(LinkFault::Stall);
    schedule(outageBefore, [this] { beginRestart(outageAfter); });
    schedule(outageBefore + downTime + outageAfter, [this] { setStoreFault(LinkFault::None); });
}

/// The entry of the new process is written before it serves requests.
void RestartEnvironment::restartListed()
{
    BackendStub &server = *servers_[restarted];
    server.stop();
    schedule(downTime, [this, &server] {
        server.start("v2");
        list(server);
    });
}

/// Other fronts that are stopped leave this one without news.
void RestartEnvironment::signalOthers(const Daemon &front, int signal)
{
    for (Daemon &daemon : daemons_) {
        if (daemon.role == front.role && daemon.name != front.name) {
            daemon.process->signal(signal);
        }
    }
}

/// One front misses that servers of another version begin streams. Callers resume them there, and
/// the daemons that keep records answer before it goes on, so that look-ups take no time.
void RestartEnvironment::restartBeside(Beside beside)
{
    constexpr auto callTime = Milliseconds(500);  // of requests that have waited meanwhile
    constexpr auto beginTime = Milliseconds(500); // of the streams that are resumed there
    outOfStep_ = fronts_.size() - 1;
    Daemon &front = daemons_.back(); // fronts are started last
    front.store->setFault(LinkFault::Stall);
    if (beside.isFrontStopped) {
        front.process->signal(SIGSTOP);
    }
    if (beside.isJoining) {
        list(*servers_.back());
    } else {
        restartListed();
    }
    schedule(beside.length - beginTime, [this, beside] {
        isResumedOutOfStep_ = true;
        if (beside.isUnrecorded) {
            stopStores();
        }
    });
    schedule(beside.length - Milliseconds(50), [this] { continueStores(); });
    schedule(beside.length, [this, &front, beside] {
        if (beside.isUnrecorded) {
            signalOthers(front, SIGSTOP);
        }
        front.process->signal(SIGCONT);
    });
    schedule(beside.length + callTime, [this, &front] {
        signalOthers(front, SIGCONT);
        front.store->setFault(LinkFault::None);
        front.store->resetAll();
        isResumedOutOfStep_ = false;
        outOfStep_.reset();
    });
}

/// Stops the daemons that keep records and fills their sockets, so that notices to them are lost.
void RestartEnvironment::stopStores()
{
    constexpr std::uint16_t recordsPort = firstFreePort + 2;
    constexpr int datagrams = 4000; // some hundred fill the buffer of a socket
    asio::ip::udp::socket socket(context_, asio::ip::udp::v4());
    for (Daemon &daemon : daemons_) {
        if (daemon.role != "store") {
            continue;
        }
        daemon.process->signal(SIGSTOP);
        const asio::ip::udp::endpoint records(asio::ip::make_address(daemon.ip), recordsPort);
        for (int i = 0; i < datagrams; ++i) {
            std::error_code ignored; // what the socket does not take is dropped
            socket.send_to(asio::buffer("x", 1), records, 0, ignored);
        }
    }
}

void RestartEnvironment::continueStores()
{
    for (Daemon &daemon : daemons_) {
        if (daemon.role == "store") {
            daemon.process->signal(SIGCONT);
        }
    }
}

/// Each turn is broken off and sent again from its start while the daemons that keep records are
/// cut off, and the second stream is resumed once they answer.
void RestartEnvironment::repeatEqualRequests()
{
    constexpr int rounds = 6;
    constexpr auto step = Milliseconds(300);
    const auto forAll = [this, step](auto action) {
        for (Caller &caller : callers_) {
            action(caller);
        }
        context_.run_for(step);
    };
    for (int i = 0; i < rounds; ++i) {
        const auto begin = [this](Caller &caller) {
            caller.breaksLeft = 1;
            caller.stream->begin("turn-" + std::to_string(turns_) + "-"
                                     + std::to_string(caller.number),
                                 attempt(caller, false),
                                 [](StreamEnd) {});
        };
        ++turns_;
        forAll(begin);
        stopStores();
        forAll(begin);
        continueStores();
        context_.run_for(step);
        forAll([this](Caller &caller) {
            caller.breaksLeft = 0;
            caller.stream->resume(attempt(caller, true), [this, &caller](StreamEnd end) {
                result_.resumed += end == StreamEnd::Complete ? 1 : 0;
                count(caller, end);
            });
        });
    }
}

std::size_t RestartEnvironment::chooseFront(std::size_t other, bool isResumption)
{
    if (isResumedOutOfStep_ && isResumption) {
        return *outOfStep_;
    }
    const std::size_t front = random_.below(fronts_.size() - 1);
    const std::size_t excluded = outOfStep_.value_or(other);
    return front + (front >= excluded ? 1 : 0);
}

StreamAttempt RestartEnvironment::attempt(Caller &caller, bool isResumption)
{
    caller.front = chooseFront(caller.front, isResumption);
    StreamAttempt attempt{fronts_[caller.front]};
    attempt.isNaming = settings_.scenario == "chain";
    if (caller.breaksLeft > 0) {
        attempt.breakAfter = eventsBeforeBreak;
    }
    return attempt;
}

/// Half of the streams are broken off by their callers, those of a chain of resumptions twice.
void RestartEnvironment::startCaller(Caller &caller)
{
    if (isStopping_) {
        return;
    }
    constexpr int maxRefusals = 8;
    const int breaks = settings_.scenario == "chain" ? 2 : 1;
    caller.breaksLeft = isResumedOutOfStep_ || random_.chance(0.5) ? breaks : 0;
    caller.refusalsLeft = maxRefusals;
    caller.stream->begin("turn-" + std::to_string(++turns_),
                         attempt(caller, false),
                         [this, &caller](StreamEnd end) { onEnd(caller, end); });
}

void RestartEnvironment::onEnd(Caller &caller, StreamEnd end)
{
    constexpr auto pause = Milliseconds(5);
    const bool isServed = end == StreamEnd::Complete || end == StreamEnd::BrokenOff;
    if (caller.stream->isResumption() && isServed) {
        ++result_.resumed;
    }
    if (end == StreamEnd::BrokenOff && caller.stream->events() > 0) {
        caller.breaksLeft = std::max(0, caller.breaksLeft - 1);
        resumeLater(caller);
        return;
    }
    const bool isRefused = end == StreamEnd::Refused || end == StreamEnd::Failed;
    if (isRefused && caller.stream->events() > 0) {
        ++result_.refusals;
        if (--caller.refusalsLeft > 0) {
            resumeLater(caller);
            return;
        }
    }
    count(caller, end);
    schedule(pause, [this, &caller] { startCaller(caller); });
}

void RestartEnvironment::resumeLater(Caller &caller)
{
    constexpr int maxDelayMs = 120;
    schedule(Milliseconds(5 + random_.below(maxDelayMs)), [this, &caller] {
        caller.stream->resume(attempt(caller, true),
                              [this, &caller](StreamEnd end) { onEnd(caller, end); });
    });
}

void RestartEnvironment::count(Caller &caller, StreamEnd end)
{
    ++result_.streams;
    result_.complete += end == StreamEnd::Complete ? 1 : 0;
    result_.givenUp += end != StreamEnd::Complete && caller.stream->events() > 0 ? 1 : 0;
    result_.mixedWithin += caller.stream->isMixedWithin() ? 1 : 0;
    result_.mixedOver += caller.stream->isMixedOver() ? 1 : 0;
}

RestartResult RestartEnvironment::run()
{
    constexpr auto endTime = Milliseconds(2000);
    const std::map<std::string, std::function<void()>> faults
        = {{"outage", [this] { restartInOutage(); }},
           {"late-entry", [this] { beginRestart(Milliseconds(1500)); }},
           {"later-entry", [this] { beginRestart(Milliseconds(3000)); }},
           {"stopped-join",
            [this] {
                restartBeside({true, true, false, longTime});
            }},
           {"stopped-restart",
            [this] {
                restartBeside({true, false, false, longTime});
            }},
           {"cut-join",
            [this] {
                restartBeside({false, true, false, longTime});
            }},
           {"cut-restart",
            [this] {
                restartBeside({false, false, false, longTime});
            }},
           {"stopped-unrecorded",
            [this] {
                restartBeside({true, true, true, longTime});
            }},
           {"stopped-briefly",
            [this] {
                restartBeside({true, true, true, shortTime});
            }},
           {"chain", [this] { restartListed(); }}};
    startDaemons("store", settings_.recordStores, 50);
    startDaemons("front", settings_.scenario == "equal" ? manyFronts : frontCount, 10);
    watchDaemons();
    context_.run_for(startTime);
    if (settings_.scenario == "equal") {
        restartListed();
        context_.run_for(startTime);
        repeatEqualRequests();
        return result_;
    }
    for (Caller &caller : callers_) {
        startCaller(caller);
    }
    context_.run_for(calmTime);
    faults.at(settings_.scenario)();
    context_.run_for(faultTime);
    isStopping_ = true;
    context_.run_for(endTime);
    return result_;
}

} // namespace Soak
