#include "soakenvironment.h"

#include <proxy/steadyclock.h>

#include <nlohmann/json.hpp>

#include <algorithm>
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
constexpr std::uint16_t turnPort = 7083;

/// Disks that may be lost at once, and the time after which a lost one must be recovered.
constexpr int toleratedLosses = 1;
constexpr auto catchUpTime = Milliseconds(4600);

/// Time limits that the deployments specify.
constexpr int configurationBoundMs = 2000;
constexpr int graceSeconds = 8;

/// Time without faults before the recovery check, and length of the check.
constexpr auto recoveryTime = std::chrono::seconds(4);
constexpr auto recoveryCheckTime = std::chrono::seconds(3);

/// Share of requests that must be served during the recovery check, not counting those rejected
/// because of a limit.
constexpr double minServedShare = 0.9;

/// Longest time between the end of a process and its next start.
constexpr auto maxRestartDelay = Milliseconds(1200);

constexpr auto pollInterval = Milliseconds(20);

/// The first servers are of the service that streams.
constexpr std::size_t engineCount = 4;

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

SoakEnvironment::SoakEnvironment(SoakSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed)
    , stopRandom_(Base::hash64("stops", settings_.seed))
    , restartRandom_(Base::hash64("restarts", settings_.seed))
    , store_(context_)
{
    ledger_.setKeyWithdrawalBound(Milliseconds(configurationBoundMs));
    setUpBackends();
    for (int i = 0; i < 4; ++i) {
        teams_.push_back({"team-" + std::to_string(i), {"key-" + std::to_string(i)}, {}});
    }
    teams_[0].limit = {15, 10};
    ledger_.setLimit(teams_[0].name, teams_[0].limit);
    writeConfiguration(random_);
    setUpHolders();
    setUpDaemons();
    setUpCallers();
}

void SoakEnvironment::setUpDaemons()
{
    // Each run uses its own loopback addresses, so that runs in parallel do not interfere.
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
                                                         "front",
                                                         settings_.folder / (daemon.name + ".json"),
                                                         settings_.folder / (daemon.name + ".log"));
        daemon.process->start();
        writeSettings(daemon, false);
    }
}

void SoakEnvironment::setUpHolders()
{
    const auto second = static_cast<int>(64 + getpid() % 128);
    const auto third = static_cast<int>(settings_.seed % 250);
    for (std::size_t i = 0; i < holders_.size(); ++i) {
        Holder &holder = holders_[i];
        holder.name = "store-" + std::to_string(i);
        holder.ip = "127." + std::to_string(second) + "." + std::to_string(third) + "."
                    + std::to_string(i + 50);
        holder.dataFolder = settings_.folder / (holder.name + "-data");
        std::filesystem::create_directories(holder.dataFolder);
        holder.store = std::make_unique<FaultRelay>(context_, anyPort(), store_.endpoint());
        writeSettings(holder, true);
        holder.process = std::make_unique<DaemonProcess>(settings_.program,
                                                         "store",
                                                         settings_.folder / (holder.name + ".json"),
                                                         settings_.folder / (holder.name + ".log"));
        holder.process->start();
    }
    runFor(Milliseconds(300)); // the settings of the first start are read
    for (const Holder &holder : holders_) {
        writeSettings(holder, false);
    }
    holdersCalmSince_ = Proxy::steadyNow();
}

void SoakEnvironment::writeSettings(const Holder &holder, bool isFirstStart) const
{
    constexpr int diskMegabytes = 400;
    const json settings = {{"node_name", holder.name},
                           {"zone", "zone-" + holder.name},
                           {"ip", holder.ip},
                           {"listen", json::object()},
                           {"port_range", {turnPort, turnPort + 10}},
                           {"data_dir", holder.dataFolder.string()},
                           {"limits", {{"disk_mb", diskMegabytes}}},
                           {"bootstrap", isFirstStart},
                           {"tolerate", {{"machines", toleratedLosses}}},
                           {"bounds", {{"grace_s", graceSeconds}}},
                           {"platform", {{"address", text(holder.store->endpoint())}}}};
    std::ofstream(settings_.folder / (holder.name + ".json")) << settings.dump(2);
}

void SoakEnvironment::writeSettings(const Daemon &daemon, bool isFirstStart) const
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
           {"port_range", {turnPort, turnPort + 10}},
           {"bootstrap", isFirstStart},
           {"tolerate", {{"machines", toleratedLosses}}},
           {"bounds", {{"config_apply_ms", configurationBoundMs}, {"grace_s", graceSeconds}}},
           {"platform", {{"address", text(daemon.store->endpoint())}}}};
    const std::filesystem::path file = settings_.folder / (daemon.name + ".json");
    const std::filesystem::path temporary = settings_.folder / (daemon.name + ".new");
    std::ofstream(temporary) << settings.dump(2);
    std::filesystem::rename(temporary, file);
}

void SoakEnvironment::setUpBackends()
{
    for (int i = 0; i < 7; ++i) {
        const bool isEngine = i < int(engineCount);
        backends_.push_back(std::make_unique<BackendStub>(context_,
                                                          "i-" + std::to_string(i),
                                                          isEngine ? "engine" : "app",
                                                          i < 2 ? "v1" : "v2",
                                                          ledger_,
                                                          &Proxy::steadyNow,
                                                          random_.next()));
        store_.put("servers", backends_.back()->id(), backends_.back()->entry(false));
    }
    store_.put("servers", "i-garbage", {{"service", 5}});
}

void SoakEnvironment::setUpCallers()
{
    EntryPoint entry;
    entry.selectDaemon = [this] { return selectEntryPoint(); };
    entry.currentKey = [this](const std::string &team) { return currentKey(team); };
    entry.now = &Proxy::steadyNow;
    constexpr int callerCount = 16;
    for (int i = 0; i < callerCount; ++i) {
        const Team &team = teams_[static_cast<std::size_t>(i) % teams_.size()];
        callers_.push_back(std::make_shared<SoakCaller>(
            context_, "c" + std::to_string(i), team.name, entry, ledger_, random_.next()));
    }
    constexpr std::array<Habit, 3> habits{Habit::Pipelining, Habit::Http10, Habit::SlowReading};
    constexpr int rawCallerCount = 6;
    for (int i = 0; i < rawCallerCount; ++i) {
        const Habit habit = habits[static_cast<std::size_t>(i) % habits.size()];
        // A relay would buffer responses that a caller does not read.
        const bool isDirect = habit == Habit::SlowReading;
        entry.selectDaemon = [this, isDirect] { return selectForRawCaller(isDirect); };
        rawCallers_.push_back(std::make_shared<RawCaller>(
            context_,
            RawCaller::Identity{"r" + std::to_string(i), teams_[1].name, habit},
            entry,
            ledger_,
            stopRandom_.next()));
    }
}

void SoakEnvironment::writeConfiguration(Base::Random &random)
{
    json turns = route("turns", "stream", "engine");
    turns["resumable"] = true;
    turns["retain_s"] = 60;
    json kept = route("kept", "stream", "engine");
    kept["retained"] = true;
    kept["retain_s"] = 60;
    json tenants = json::array();
    for (const Team &team : teams_) {
        json tenant = {{"name", team.name}, {"api_keys", team.keys}};
        if (team.limit.perSecond > 0) {
            tenant["rate_per_s"] = team.limit.perSecond;
            tenant["burst"] = team.limit.burst;
        }
        tenants.push_back(std::move(tenant));
    }
    version_ += 1 + random.below(5);
    store_.put(
        "config",
        "main",
        {{"version", version_},
         {"routes",
          {turns,
           kept,
           route("lookups", "idempotent", "app"),
           route("orders", "non_idempotent", "app")}},
         {"services",
          {{{"name", "engine"},
            {"engine", {{"stride", tokensPerEvent}}},
            {"cold_s", Base::toSeconds(coldPeriod)},
            {"cold_per_s", coldRate}},
           {{"name", "app"}, {"cold_s", Base::toSeconds(coldPeriod)}, {"cold_per_s", coldRate}}}},
         {"tenants", tenants},
         {"limits",
          {{"header_bytes", 16384},
           {"body_bytes", 1048576},
           {"header_timeout_ms", 5000},
           {"idle_timeout_ms", 10000}}}});
}

/// Prefers daemons that run; the platform may still route callers to one that has just exited.
std::size_t SoakEnvironment::selectRunning(std::size_t first) const
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const std::size_t index = (first + i) % daemons_.size();
        const Daemon &daemon = daemons_[index];
        if (daemon.process->isRunning() && !daemon.isPaused && !daemon.stopDeadline) {
            return index;
        }
    }
    return first;
}

Gateway SoakEnvironment::selectEntryPoint()
{
    const Daemon &daemon = daemons_[selectRunning(random_.below(daemons_.size()))];
    return {daemon.name, daemon.callers->endpoint()};
}

Gateway SoakEnvironment::selectForRawCaller(bool isDirect)
{
    const Daemon &daemon = daemons_[selectRunning(stopRandom_.below(daemons_.size()))];
    return {daemon.name, isDirect ? endpoint(daemon.ip, callerPort) : daemon.callers->endpoint()};
}

std::string SoakEnvironment::currentKey(const std::string &team) const
{
    for (const Team &each : teams_) {
        if (each.name == team) {
            return each.keys.back();
        }
    }
    return {};
}

void SoakEnvironment::schedule(Milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const std::error_code &error) {
        if (!error) {
            action();
        }
    });
}

Milliseconds SoakEnvironment::randomDuration(int minMs, int maxMs)
{
    return randomDuration(random_, minMs, maxMs);
}

Milliseconds SoakEnvironment::randomDuration(Base::Random &random, int minMs, int maxMs)
{
    const auto spread = static_cast<std::uint64_t>(maxMs - minMs);
    return Milliseconds(minMs + static_cast<int>(random.below(spread + 1)));
}

void SoakEnvironment::disturbed(const std::string &name, Milliseconds length)
{
    ledger_.disturbed(name, Proxy::steadyNow(), length);
}

void SoakEnvironment::pollProcesses()
{
    checkProcesses();
    checkHolders();
    schedule(pollInterval, [this] { pollProcesses(); });
}

void SoakEnvironment::checkProcesses()
{
    const Base::Instant now = Proxy::steadyNow();
    for (Daemon &daemon : daemons_) {
        if (daemon.stopDeadline && now > *daemon.stopDeadline && !daemon.isPaused) {
            ledger_.recordViolation("stop", daemon.name + " did not exit within its grace period");
            daemon.stopDeadline.reset();
            daemon.isExitExpected = true;
            daemon.process->signal(SIGKILL);
        }
        const std::optional<int> status = daemon.process->poll();
        if (!status) {
            continue;
        }
        const bool isClean = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
        if (!daemon.isExitExpected || (daemon.stopDeadline && !isClean)) {
            ledger_.recordViolation("process",
                                    daemon.name + " exited unexpectedly, wait status "
                                        + std::to_string(*status));
        }
        if (daemon.stopDeadline && isClean) {
            checkRequestAccount(daemon);
        }
        daemon.stopDeadline.reset();
        schedule(randomDuration(100, 1200), [this, &daemon] { startDaemon(daemon); });
    }
}

/// Each request that a stopped daemon read completely has ended, in a way that its log names.
/// Requests behind a response that is broken off cannot be answered, as the connection has to end.
/// Whether that response may be broken off is checked for its own caller.
void SoakEnvironment::checkRequestAccount(const Daemon &daemon)
{
    std::ifstream log(settings_.folder / (daemon.name + ".log"));
    nlohmann::json stopped;
    std::int64_t behindBrokenOnes = 0;
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"message\":\"starting\"") != std::string::npos) {
            stopped = {};
            behindBrokenOnes = 0;
        } else if (line.find("\"message\":\"stopped\"") != std::string::npos) {
            stopped = nlohmann::json::parse(line, nullptr, false);
        } else if (line.find("\"reason\":\"response_aborted\"") != std::string::npos) {
            const auto end = nlohmann::json::parse(line, nullptr, false);
            behindBrokenOnes += end.value("unhandled_requests", std::int64_t(0));
        }
    }
    if (!stopped.is_object()) {
        ledger_.recordViolation("account", daemon.name + " did not log its stop");
        return;
    }
    std::int64_t ended = 0;
    for (const char *ending : {"active", "answered", "refused", "cut", "caller_gone", "dropped"}) {
        ended += stopped.value(ending, std::int64_t(0));
    }
    if (stopped.value("read", std::int64_t(-1)) != ended || stopped["dropped"] != behindBrokenOnes
        || (stopped["active"] != 0 && !daemon.wasPausedInStop)) {
        ledger_.recordViolation("account", daemon.name + " stopped with " + stopped.dump());
    }
}

void SoakEnvironment::startDaemon(Daemon &daemon)
{
    daemon.isExitExpected = false;
    daemon.isPaused = false;
    daemon.process->start();
}

void SoakEnvironment::killDaemon(Daemon &daemon)
{
    daemon.isExitExpected = true;
    daemon.stopDeadline.reset();
    daemon.process->signal(SIGKILL);
    disturbed(daemon.name, maxRestartDelay);
}

void SoakEnvironment::stopDaemon(Daemon &daemon)
{
    if (!daemon.process->isRunning() || daemon.isExitExpected) {
        return;
    }
    daemon.isExitExpected = true;
    daemon.stopDeadline = Proxy::steadyNow() + std::chrono::seconds(graceSeconds);
    daemon.wasPausedInStop = daemon.isPaused;
    ledger_.daemonStopping(daemon.name, Proxy::steadyNow());
    daemon.process->signal(SIGTERM);
}

void SoakEnvironment::pauseDaemon(Daemon &daemon)
{
    if (!daemon.process->isRunning() || daemon.isPaused) {
        return;
    }
    daemon.isPaused = true;
    daemon.process->signal(SIGSTOP);
    const Milliseconds length = randomDuration(100, 2500);
    disturbed(daemon.name, length);
    if (daemon.stopDeadline) {
        *daemon.stopDeadline += length;
        daemon.wasPausedInStop = true;
    }
    schedule(length, [&daemon] {
        daemon.isPaused = false;
        daemon.process->signal(SIGCONT);
    });
}

void SoakEnvironment::extendFaultPeriod(Milliseconds duration)
{
    const Base::Instant now = Proxy::steadyNow();
    faultsActiveUntil_ = std::max(faultsActiveUntil_, now + duration);
    ledger_.setFaultsActive(true, now);
    schedule(duration + Milliseconds(1), [this] {
        if (Proxy::steadyNow() >= faultsActiveUntil_) {
            ledger_.setFaultsActive(false, Proxy::steadyNow());
        }
    });
}

void SoakEnvironment::startFaults()
{
    areFaultsStopped_ = false;
    scheduleFault();
    stopDaemonsInTurn();
    constexpr auto longestRestart = std::chrono::seconds(3);
    lastRestart_ = Proxy::steadyNow() + settings_.length - longestRestart;
    scheduleRestart();
    for (const auto &backend : backends_) {
        backend->breakUnframed(true);
    }
}

/// The loss of one holder is tolerated, so no turn may be cut because of it.
void SoakEnvironment::stopHolder(Holder &holder)
{
    if (areHoldersRunning() && Proxy::steadyNow() - holdersCalmSince_ > catchUpTime) {
        holder.isExitExpected = true;
        holder.process->signal(SIGTERM);
    }
}

/// SIGTERM to one daemon after another, while streams run and the configuration changes, and to one
/// holder.
void SoakEnvironment::stopDaemonsInTurn()
{
    Milliseconds delay = randomDuration(stopRandom_, 500, 2000);
    for (Daemon &daemon : daemons_) {
        schedule(delay, [this, &daemon] {
            if (!areFaultsStopped_) {
                stopDaemon(daemon);
                extendFaultPeriod(std::chrono::seconds(4));
            }
        });
        schedule(delay + randomDuration(stopRandom_, 0, 20), [this] {
            if (!areFaultsStopped_) {
                changeConfiguration(stopRandom_);
            }
        });
        delay += randomDuration(stopRandom_, 100, 1200);
    }
    Holder &holder = holders_[stopRandom_.below(holders_.size())];
    schedule(randomDuration(stopRandom_, 0, 3000), [this, &holder] {
        if (!areFaultsStopped_) {
            stopHolder(holder);
        }
    });
    schedule(delay + std::chrono::seconds(1), [this] {
        if (!areFaultsStopped_) {
            stopDaemonsInTurn();
        }
    });
}

/// The accounts of the daemons are checked when they have exited.
void SoakEnvironment::waitForDaemonsToStop()
{
    const Base::Instant end = Proxy::steadyNow() + std::chrono::seconds(graceSeconds + 1);
    const auto isStopping = [](const Daemon &daemon) { return daemon.stopDeadline.has_value(); };
    while (Proxy::steadyNow() < end && std::any_of(daemons_.begin(), daemons_.end(), isStopping)) {
        runFor(pollInterval);
    }
}

/// Faults overlap and come in series, with short delays within a series and long ones between.
void SoakEnvironment::scheduleFault()
{
    const bool isSeries = random_.chance(0.4);
    schedule(isSeries ? randomDuration(5, 150) : randomDuration(300, 1500), [this] {
        if (areFaultsStopped_) {
            return;
        }
        ++faults_;
        injectFault();
        scheduleFault();
    });
}

void SoakEnvironment::injectFault()
{
    switch (random_.below(8)) {
    case 0:
    case 1:
        injectDaemonFault();
        break;
    case 6:
    case 7:
        injectHolderFault();
        break;
    case 2:
        injectStoreFault();
        break;
    case 3:
        injectBackendFault();
        break;
    case 4:
        injectCallerFault();
        break;
    default:
        changeConfiguration(random_);
        break;
    }
}

void SoakEnvironment::injectDaemonFault()
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
    extendFaultPeriod(std::chrono::seconds(4));
}

bool SoakEnvironment::areHoldersRunning() const
{
    return std::all_of(holders_.begin(), holders_.end(), [](const Holder &holder) {
        return holder.process->isRunning() && !holder.isPaused && !holder.isExitExpected;
    });
}

/// Any number of holders may be stopped at once. A disk is lost only after the last fault of any
/// holder has been over for the time in which a lost disk must be recovered.
void SoakEnvironment::injectHolderFault()
{
    Holder &holder = holders_[random_.below(holders_.size())];
    const bool mayLoseDisk
        = areHoldersRunning() && Proxy::steadyNow() - holdersCalmSince_ > catchUpTime;
    switch (random_.below(6)) {
    case 0:
    case 1:
        pauseHolder(holder);
        break;
    case 2:
        for (Holder &each : holders_) {
            killHolder(each, false);
        }
        break;
    case 3:
        killHolder(holder, false);
        break;
    case 4:
        injectLinkFault(*holder.store);
        break;
    default:
        killHolder(holder, mayLoseDisk);
        break;
    }
    disturbed("holders", catchUpTime);
    extendFaultPeriod(std::chrono::seconds(4));
}

void SoakEnvironment::killHolder(Holder &holder, bool losesDisk)
{
    if (!holder.process->isRunning() || holder.isExitExpected) {
        return;
    }
    holder.isExitExpected = true;
    holder.process->signal(SIGKILL);
    if (losesDisk) {
        std::filesystem::remove_all(holder.dataFolder);
        std::filesystem::create_directories(holder.dataFolder);
    }
}

void SoakEnvironment::pauseHolder(Holder &holder)
{
    if (!holder.process->isRunning() || holder.isPaused) {
        return;
    }
    holder.isPaused = true;
    holder.process->signal(SIGSTOP);
    schedule(randomDuration(100, 2500), [&holder] {
        holder.isPaused = false;
        holder.process->signal(SIGCONT);
    });
}

void SoakEnvironment::checkHolders()
{
    for (Holder &holder : holders_) {
        const std::optional<int> status = holder.process->poll();
        if (!status) {
            continue;
        }
        if (!holder.isExitExpected) {
            ledger_.recordViolation("process",
                                    holder.name + " exited unexpectedly, wait status "
                                        + std::to_string(*status));
        }
        schedule(randomDuration(100, 1200), [&holder] {
            holder.isExitExpected = false;
            holder.isPaused = false;
            holder.process->start();
        });
    }
    if (!areHoldersRunning()) {
        holdersCalmSince_ = Proxy::steadyNow();
    }
}

Milliseconds SoakEnvironment::injectLinkFault(FaultRelay &relay)
{
    switch (random_.below(4)) {
    case 0:
        relay.resetAll();
        return {};
    case 1:
        relay.setFault(LinkFault::Delay, randomDuration(10, 300));
        break;
    case 2:
        relay.setFault(LinkFault::Stall);
        break;
    default:
        relay.setFault(LinkFault::StallResponses);
        break;
    }
    const Milliseconds length = randomDuration(200, 2500);
    schedule(length, [&relay] {
        relay.setFault(LinkFault::None);
        relay.resetAll(); // discards the data that was held back
    });
    return length;
}

void SoakEnvironment::injectStoreFault()
{
    extendFaultPeriod(std::chrono::seconds(4));
    switch (random_.below(6)) {
    case 0:
        store_.refuseWith(random_.chance(0.5) ? 503 : 429);
        schedule(randomDuration(200, 3000), [this] { store_.refuseWith(0); });
        break;
    case 1:
        store_.compact();
        break;
    case 2:
        store_.dropNextResponse();
        break;
    case 3:
        for (Daemon &daemon : daemons_) {
            injectLinkFault(*daemon.store);
        }
        break;
    default:
        injectLinkFault(*daemons_[random_.below(daemons_.size())].store);
        break;
    }
}

void SoakEnvironment::injectBackendFault()
{
    const std::size_t index = random_.below(backends_.size());
    BackendStub &backend = *backends_[index];
    switch (random_.below(6)) {
    case 0:
        disturbed(backend.id(), injectLinkFault(backend.link()));
        break;
    case 1:
        drain(index);
        break;
    case 2:
    case 3:
        backend.setLimit(static_cast<double>(1 + random_.below(4)));
        schedule(randomDuration(4000, 9000), [&backend] { backend.setLimit(0); });
        break;
    default:
        backend.setFault(static_cast<BackendFault>(1 + random_.below(4)));
        schedule(randomDuration(300, 2000), [&backend] { backend.setFault(BackendFault::None); });
        break;
    }
}

/// Marks the server as draining, then removes its entry; later another process with the same id and
/// address starts, which is cold for a while.
void SoakEnvironment::drain(std::size_t index)
{
    BackendStub &backend = *backends_[index];
    store_.put("servers", backend.id(), backend.entry(true));
    schedule(randomDuration(500, 2500),
             [this, &backend] { store_.erase("servers", backend.id()); });
    const auto list
        = [this, &backend] { store_.put("servers", backend.id(), backend.entry(false)); };
    const Milliseconds returnsAfter = randomDuration(2600, 3500);
    schedule(returnsAfter, [&backend, list] {
        backend.restart();
        list();
    });
    schedule(returnsAfter + std::chrono::duration_cast<Milliseconds>(coldPeriod), list);
}

void SoakEnvironment::scheduleRestart()
{
    schedule(randomDuration(restartRandom_, 1500, 4000), [this] {
        if (Proxy::steadyNow() < lastRestart_) {
            restartBackend();
            scheduleRestart();
        }
    });
}

/// A server of streams ends and starts again under its id with another software version. Its entry
/// may be written later, and the store may be unavailable from before until then. The new process
/// may break off streams at first, so that they go on elsewhere.
void SoakEnvironment::restartBackend()
{
    constexpr auto brokenTime = Milliseconds(1000);
    BackendStub &backend = *backends_[restartRandom_.below(engineCount)];
    const bool isStoreDown = restartRandom_.chance(0.4);
    const Milliseconds stopsAfter = isStoreDown ? Milliseconds(500) : Milliseconds(0);
    const Milliseconds startsAfter = stopsAfter + randomDuration(restartRandom_, 10, 600);
    const Milliseconds listedAfter
        = startsAfter
          + (restartRandom_.chance(0.3) ? Milliseconds(0)
                                        : randomDuration(restartRandom_, 0, 1500));
    const std::string version = backend.version() == "v1" ? "v2" : "v1";
    if (isStoreDown) {
        store_.refuseWith(503);
        extendFaultPeriod(listedAfter + std::chrono::seconds(4));
    }
    schedule(stopsAfter, [this, &backend, length = startsAfter - stopsAfter] {
        disturbed(backend.id(), length);
        backend.stop();
    });
    const int brokenAfter = restartRandom_.chance(0.5) ? 1 + int(restartRandom_.below(4)) : 0;
    schedule(startsAfter, [&backend, version, brokenAfter] {
        backend.start(version);
        backend.breakStreamsAfter(brokenAfter);
    });
    schedule(startsAfter + brokenTime, [&backend] { backend.breakStreamsAfter(0); });
    schedule(listedAfter, [this, &backend, isStoreDown] {
        store_.put("servers", backend.id(), backend.entry(false));
        if (isStoreDown) {
            store_.refuseWith(0);
        }
    });
}

void SoakEnvironment::injectCallerFault()
{
    const Daemon &daemon = daemons_[random_.below(daemons_.size())];
    disturbed(daemon.name, injectLinkFault(*daemon.callers));
    extendFaultPeriod(std::chrono::seconds(4));
}

/// Adds a new key, and withdraws the old one in a later version of the configuration.
void SoakEnvironment::changeConfiguration(Base::Random &random)
{
    const std::size_t index = random.below(teams_.size());
    const std::string key = "key-" + std::to_string(index) + "-" + std::to_string(++keyNumber_);
    const std::string old = teams_[index].keys.back();
    teams_[index].keys.insert(teams_[index].keys.begin(), key);
    writeConfiguration(random);
    schedule(randomDuration(random, 2500, 4000), [this, &random, index, old] {
        std::erase(teams_[index].keys, old);
        writeConfiguration(random);
        ledger_.keyWithdrawn(old, Proxy::steadyNow());
    });
}

void SoakEnvironment::clearFaults()
{
    areFaultsStopped_ = true;
    store_.refuseWith(0);
    for (Daemon &daemon : daemons_) {
        daemon.callers->setFault(LinkFault::None);
        daemon.store->setFault(LinkFault::None);
    }
    for (Holder &holder : holders_) {
        holder.store->setFault(LinkFault::None);
    }
    for (const auto &backend : backends_) {
        backend->setFault(BackendFault::None);
        backend->setLimit(0);
        backend->breakUnframed(false);
        backend->link().setFault(LinkFault::None);
    }
}

void SoakEnvironment::runFor(Milliseconds duration)
{
    context_.run_for(duration);
}

void SoakEnvironment::checkRecovery()
{
    const int servedBefore = ledger_.servedCount();
    const int failedBefore = ledger_.failedCount();
    runFor(recoveryCheckTime);
    const int served = ledger_.servedCount() - servedBefore;
    const int failed = ledger_.failedCount() - failedBefore;
    constexpr int minServed = 50;
    if (served < minServed || served < minServedShare * (served + failed)) {
        ledger_.recordViolation("recovery",
                                std::to_string(served) + " served and " + std::to_string(failed)
                                    + " failed during the recovery check");
    }
}

SoakResult SoakEnvironment::run()
{
    pollProcesses();
    runFor(std::chrono::seconds(2)); // until the daemons have discovered each other
    for (const auto &caller : callers_) {
        caller->start();
    }
    for (const auto &caller : rawCallers_) {
        caller->start();
    }
    startFaults();
    runFor(settings_.length);
    clearFaults();
    runFor(recoveryTime);
    checkRecovery();
    for (const auto &caller : callers_) {
        caller->stop();
    }
    for (const auto &caller : rawCallers_) {
        caller->stop();
    }
    for (Daemon &daemon : daemons_) {
        stopDaemon(daemon);
    }
    waitForDaemonsToStop();
    for (Holder &holder : holders_) {
        holder.isExitExpected = true;
        holder.process->signal(SIGTERM);
    }
    runFor(Milliseconds(500)); // requests in transit still reach the servers
    ledger_.checkAtEnd();
    return {ledger_.violations(),
            ledger_.servedCount(),
            ledger_.refusedCount(),
            ledger_.runCount(),
            faults_,
            ledger_.resumedCount(),
            ledger_.notResumedCount(),
            ledger_.cuts()};
}

} // namespace Soak
