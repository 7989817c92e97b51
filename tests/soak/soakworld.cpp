#include "soakworld.h"

#include <proxy/steadyclock.h>

#include <csignal>
#include <fstream>

#include <sys/wait.h>

namespace Soak {

namespace {

using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

constexpr std::uint16_t callerPort = 7080;
constexpr std::uint16_t statusPort = 7081;
constexpr std::uint16_t peerPort = 7082;

/// Bounds of the deployments' sheets.
constexpr int configurationBoundMs = 2000;
constexpr int graceSeconds = 8;

/// Without new faults before the recovery is looked at, and while it is.
constexpr auto recoveryTime = std::chrono::seconds(4);
constexpr auto calmTime = std::chrono::seconds(3);

/// Share of the requests of the calm end that have to be served, those beyond limits left out.
constexpr double calmShare = 0.9;

constexpr auto lookInterval = Milliseconds(20);

asio::ip::tcp::endpoint endpoint(const std::string &ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

std::string text(const asio::ip::tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

asio::ip::tcp::endpoint anyPort()
{
    return {asio::ip::address_v4::loopback(), 0};
}

json route(const char *name, const char *kind, const char *service)
{
    return {{"name", name},
            {"host", "soak.example"},
            {"path_prefix", std::string("/") + name + "/"},
            {"kind", kind},
            {"service", service},
            {"attempts", 3},
            {"timeout_ms", 2500},
            {"goal_ms", 250}};
}

} // namespace

SoakWorld::SoakWorld(SoakSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
    , store_(context_)
{
    ledger_.setKeysBindFrom(Milliseconds(configurationBoundMs));
    setUpBackends();
    for (int i = 0; i < 4; ++i) {
        teams_.push_back({"team-" + std::to_string(i), {"key-" + std::to_string(i)}, {}});
    }
    teams_[0].limit = {15, 10};
    ledger_.setLimit(teams_[0].name, teams_[0].limit);
    writeConfiguration();
    setUpDaemons();
    setUpCallers();
}

void SoakWorld::setUpDaemons()
{
    // Loopback addresses of its own, so that soaks side by side do not meet.
    const auto second = static_cast<int>(64 + getpid() % 128);
    const auto third = static_cast<int>(settings_.seed % 250);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        Daemon &daemon = daemons_[i];
        daemon.name = "front-" + std::to_string(i);
        daemon.ip = "127." + std::to_string(second) + "." + std::to_string(third) + "."
                    + std::to_string(i + 10);
        daemon.callers
            = std::make_unique<FaultRelay>(context_, anyPort(), endpoint(daemon.ip, callerPort));
        daemon.store = std::make_unique<FaultRelay>(context_, anyPort(), store_.endpoint());
    }
    for (Daemon &daemon : daemons_) {
        writeSettings(daemon, true);
        daemon.process = std::make_unique<DaemonProcess>(settings_.program,
                                                         settings_.folder / (daemon.name + ".json"),
                                                         settings_.folder / (daemon.name + ".log"));
        daemon.process->start();
        writeSettings(daemon, false);
    }
}

void SoakWorld::writeSettings(const Daemon &daemon, bool isFirstStart) const
{
    json seeds = json::array();
    for (const Daemon &other : daemons_) {
        seeds.push_back(text(endpoint(other.ip, peerPort)));
    }
    const json settings
        = {{"node_name", daemon.name},
           {"zone", "zone-a"},
           {"zones", {{"zone-a", "region"}}},
           {"ip", daemon.ip},
           {"listen",
            {{"front", text(endpoint(daemon.ip, callerPort))},
             {"ready", text(endpoint(daemon.ip, statusPort))},
             {"control", text(endpoint(daemon.ip, peerPort))}}},
           {"seeds", seeds},
           {"bootstrap", isFirstStart},
           {"bounds", {{"config_apply_ms", configurationBoundMs}, {"grace_s", graceSeconds}}},
           {"platform", {{"address", text(daemon.store->endpoint())}}}};
    const std::filesystem::path file = settings_.folder / (daemon.name + ".json");
    const std::filesystem::path temporary = settings_.folder / (daemon.name + ".new");
    std::ofstream(temporary) << settings.dump(2);
    std::filesystem::rename(temporary, file);
}

void SoakWorld::setUpBackends()
{
    for (int i = 0; i < 7; ++i) {
        const bool isEngine = i < 4;
        backends_.push_back(std::make_unique<BackendStub>(context_,
                                                          "i-" + std::to_string(i),
                                                          isEngine ? "engine" : "app",
                                                          ledger_,
                                                          &Proxy::steadyNow,
                                                          random_.next()));
        store_.put("servers", backends_.back()->id(), backends_.back()->entry(false));
    }
    store_.put("servers", "i-garbage", {{"service", 5}});
}

void SoakWorld::setUpCallers()
{
    EntryPoint entry;
    entry.choose = [this] { return chooseEntry(); };
    entry.keyOf = [this](const std::string &team) { return keyOf(team); };
    entry.now = &Proxy::steadyNow;
    constexpr int callerCount = 16;
    for (int i = 0; i < callerCount; ++i) {
        const Team &team = teams_[static_cast<std::size_t>(i) % teams_.size()];
        callers_.push_back(std::make_shared<SoakCaller>(
            context_, "c" + std::to_string(i), team.name, entry, ledger_, random_.next()));
    }
}

void SoakWorld::writeConfiguration()
{
    json turns = route("turns", "stream", "engine");
    turns["resumable"] = true;
    turns["retain_s"] = 60;
    json tenants = json::array();
    for (const Team &team : teams_) {
        json tenant = {{"name", team.name}, {"api_keys", team.keys}};
        if (team.limit.perSecond > 0) {
            tenant["rate_per_s"] = team.limit.perSecond;
            tenant["burst"] = team.limit.burst;
        }
        tenants.push_back(std::move(tenant));
    }
    version_ += 1 + random_.below(5);
    store_.put(
        "config",
        "main",
        {{"version", version_},
         {"routes",
          {turns, route("lookups", "idempotent", "app"), route("orders", "non_idempotent", "app")}},
         {"services",
          {{{"name", "engine"}, {"engine", {{"stride", tokensPerEvent}}}}, {{"name", "app"}}}},
         {"tenants", tenants},
         {"limits",
          {{"header_bytes", 16384},
           {"body_bytes", 1048576},
           {"header_timeout_ms", 5000},
           {"idle_timeout_ms", 10000}}}});
}

/// The platform still sends callers to a daemon that has just ended.
asio::ip::tcp::endpoint SoakWorld::chooseEntry()
{
    const std::size_t first = random_.below(daemons_.size());
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const Daemon &daemon = daemons_[(first + i) % daemons_.size()];
        if (daemon.process->isRunning() && !daemon.isPaused && !daemon.stopBy) {
            return daemon.callers->endpoint();
        }
    }
    return daemons_[first].callers->endpoint();
}

std::string SoakWorld::keyOf(const std::string &team) const
{
    for (const Team &each : teams_) {
        if (each.name == team) {
            return each.keys.back();
        }
    }
    return {};
}

void SoakWorld::later(Milliseconds pause, std::function<void()> action)
{
    timers_.push_back(std::make_unique<asio::steady_timer>(context_, pause));
    timers_.back()->async_wait([action = std::move(action)](const std::error_code &error) {
        if (!error) {
            action();
        }
    });
}

Milliseconds SoakWorld::between(int shortest, int longest)
{
    const auto spread = static_cast<std::uint64_t>(longest - shortest);
    return Milliseconds(shortest + static_cast<int>(random_.below(spread + 1)));
}

void SoakWorld::look()
{
    checkProcesses();
    later(lookInterval, [this] { look(); });
}

void SoakWorld::checkProcesses()
{
    const Base::Instant now = Proxy::steadyNow();
    for (Daemon &daemon : daemons_) {
        if (daemon.stopBy && now > *daemon.stopBy && !daemon.isPaused) {
            ledger_.broken("stop", daemon.name + " did not end within its grace");
            daemon.stopBy.reset();
            daemon.mayEnd = true;
            daemon.process->signal(SIGKILL);
        }
        const std::optional<int> status = daemon.process->poll();
        if (!status) {
            continue;
        }
        const bool isClean = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        if (!daemon.mayEnd || (daemon.stopBy && !isClean)) {
            ledger_.broken("process",
                           daemon.name + " ended by itself, status " + std::to_string(*status));
        }
        daemon.stopBy.reset();
        later(between(100, 1200), [this, &daemon] { startDaemon(daemon); });
    }
}

void SoakWorld::startDaemon(Daemon &daemon)
{
    daemon.mayEnd = false;
    daemon.isPaused = false;
    daemon.process->start();
}

void SoakWorld::killDaemon(Daemon &daemon)
{
    daemon.mayEnd = true;
    daemon.stopBy.reset();
    daemon.process->signal(SIGKILL);
}

void SoakWorld::stopDaemon(Daemon &daemon)
{
    if (!daemon.process->isRunning() || daemon.mayEnd) {
        return;
    }
    daemon.mayEnd = true;
    daemon.stopBy = Proxy::steadyNow() + std::chrono::seconds(graceSeconds);
    daemon.process->signal(SIGTERM);
}

void SoakWorld::pauseDaemon(Daemon &daemon)
{
    if (!daemon.process->isRunning() || daemon.isPaused) {
        return;
    }
    daemon.isPaused = true;
    daemon.process->signal(SIGSTOP);
    const Milliseconds length = between(100, 2500);
    if (daemon.stopBy) {
        *daemon.stopBy += length;
    }
    later(length, [&daemon] {
        daemon.isPaused = false;
        daemon.process->signal(SIGCONT);
    });
}

void SoakWorld::disturbed(Milliseconds duration)
{
    const Base::Instant now = Proxy::steadyNow();
    disturbedUntil_ = std::max(disturbedUntil_, now + duration);
    ledger_.setDisturbed(true, now);
    later(duration + Milliseconds(1), [this] {
        if (Proxy::steadyNow() >= disturbedUntil_) {
            ledger_.setDisturbed(false, Proxy::steadyNow());
        }
    });
}

void SoakWorld::beginFaults()
{
    isCalm_ = false;
    nextFault();
}

/// Faults come in series and overlap: a short pause now and then, a long one between series.
void SoakWorld::nextFault()
{
    const bool isSeries = random_.chance(0.4);
    later(isSeries ? between(5, 150) : between(300, 1500), [this] {
        if (isCalm_) {
            return;
        }
        ++faults_;
        drawFault();
        nextFault();
    });
}

void SoakWorld::drawFault()
{
    switch (random_.below(6)) {
    case 0:
    case 1:
        disturbDaemon();
        break;
    case 2:
        disturbStore();
        break;
    case 3:
        disturbBackend();
        break;
    case 4:
        disturbCallers();
        break;
    default:
        changeConfiguration();
        break;
    }
}

void SoakWorld::disturbDaemon()
{
    Daemon &daemon = daemons_[random_.below(daemons_.size())];
    switch (random_.below(8)) {
    case 0:
    case 1:
        killDaemon(daemon);
        break;
    case 2:
    case 3:
        stopDaemon(daemon);
        break;
    case 4:
        daemon.process->signal(SIGHUP);
        break;
    case 5:
        for (Daemon &each : daemons_) {
            killDaemon(each);
        }
        break;
    default:
        pauseDaemon(daemon);
        break;
    }
    disturbed(std::chrono::seconds(4));
}

void SoakWorld::linkFault(FaultRelay &relay)
{
    switch (random_.below(4)) {
    case 0:
        relay.resetAll();
        return;
    case 1:
        relay.setFault(LinkFault::Delay, between(10, 300));
        break;
    case 2:
        relay.setFault(LinkFault::Silence);
        break;
    default:
        relay.setFault(LinkFault::SilentAnswers);
        break;
    }
    later(between(200, 2500), [&relay] {
        relay.setFault(LinkFault::None);
        relay.resetAll(); // what was held up is lost
    });
}

void SoakWorld::disturbStore()
{
    disturbed(std::chrono::seconds(4));
    switch (random_.below(6)) {
    case 0:
        store_.refuseWith(random_.chance(0.5) ? 503 : 429);
        later(between(200, 3000), [this] { store_.refuseWith(0); });
        break;
    case 1:
        store_.compact();
        break;
    case 2:
        store_.dropNextResponse();
        break;
    case 3:
        for (Daemon &daemon : daemons_) {
            linkFault(*daemon.store);
        }
        break;
    default:
        linkFault(*daemons_[random_.below(daemons_.size())].store);
        break;
    }
}

void SoakWorld::disturbBackend()
{
    const std::size_t index = random_.below(backends_.size());
    BackendStub &backend = *backends_[index];
    switch (random_.below(4)) {
    case 0:
        linkFault(backend.link());
        break;
    case 1:
        drain(index);
        break;
    default:
        backend.setFault(static_cast<BackendFault>(1 + random_.below(4)));
        later(between(300, 2000), [&backend] { backend.setFault(BackendFault::None); });
        break;
    }
}

/// The server reports that it leaves, its entry goes, and it comes back later.
void SoakWorld::drain(std::size_t index)
{
    BackendStub &backend = *backends_[index];
    store_.put("servers", backend.id(), backend.entry(true));
    later(between(500, 2500), [this, &backend] { store_.erase("servers", backend.id()); });
    later(between(2600, 3500),
          [this, &backend] { store_.put("servers", backend.id(), backend.entry(false)); });
}

void SoakWorld::disturbCallers()
{
    linkFault(*daemons_[random_.below(daemons_.size())].callers);
    disturbed(std::chrono::seconds(4));
}

/// A new key comes into force; the old one is withdrawn a moment later, in a version of its own.
void SoakWorld::changeConfiguration()
{
    const std::size_t index = random_.below(teams_.size());
    const std::string key = "key-" + std::to_string(index) + "-" + std::to_string(++keyNumber_);
    const std::string old = teams_[index].keys.back();
    teams_[index].keys.insert(teams_[index].keys.begin(), key);
    writeConfiguration();
    later(between(2500, 4000), [this, index, old] {
        std::erase(teams_[index].keys, old);
        writeConfiguration();
        ledger_.withdrawn(old, Proxy::steadyNow());
    });
}

void SoakWorld::heal()
{
    isCalm_ = true;
    store_.refuseWith(0);
    for (Daemon &daemon : daemons_) {
        daemon.callers->setFault(LinkFault::None);
        daemon.store->setFault(LinkFault::None);
    }
    for (const auto &backend : backends_) {
        backend->setFault(BackendFault::None);
        backend->link().setFault(LinkFault::None);
    }
}

void SoakWorld::runFor(Milliseconds duration)
{
    context_.run_for(duration);
    std::erase_if(timers_, [](const auto &timer) {
        return timer->expiry() < asio::steady_timer::clock_type::now();
    });
}

void SoakWorld::checkRecovery()
{
    const int servedBefore = ledger_.servedCount();
    const int failedBefore = ledger_.failedCount();
    runFor(calmTime);
    const int served = ledger_.servedCount() - servedBefore;
    const int failed = ledger_.failedCount() - failedBefore;
    constexpr int least = 50;
    if (served < least || served < calmShare * (served + failed)) {
        ledger_.broken("recovery",
                       std::to_string(served) + " served and " + std::to_string(failed)
                           + " failed in the calm end");
    }
}

SoakResult SoakWorld::run()
{
    look();
    runFor(std::chrono::seconds(2)); // until the daemons know each other
    for (const auto &caller : callers_) {
        caller->start();
    }
    beginFaults();
    runFor(settings_.length);
    heal();
    runFor(recoveryTime);
    checkRecovery();
    for (const auto &caller : callers_) {
        caller->stop();
    }
    for (Daemon &daemon : daemons_) {
        stopDaemon(daemon);
    }
    runFor(Milliseconds(500)); // writes that are still on their way reach the servers
    ledger_.close();
    return {ledger_.violations(),
            ledger_.servedCount(),
            ledger_.refusedCount(),
            ledger_.runCount(),
            faults_};
}

} // namespace Soak
