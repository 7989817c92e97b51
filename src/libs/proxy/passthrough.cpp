#include "passthrough.h"

#include "endpoint.h"
#include "exchange.h"
#include "requestroute.h"

namespace Proxy {

PassThrough::PassThrough(asio::io_context &context,
                         PassThroughSettings settings,
                         HeaderTranslator translator,
                         AdmissionControls controls,
                         Telemetry::Log &log,
                         Telemetry::Metrics &metrics,
                         std::uint64_t seed)
    : context_(context)
    , settings_(std::move(settings))
    , translator_(std::move(translator))
    , controls_(std::move(controls))
    , serverReads_(context,
                   settings_.serverReadInterval,
                   [this](SharedRead::Done done) { readServers(std::move(done)); })
    , log_(log)
    , metrics_(metrics)
    , placer_(settings_.zone, settings_.placement, seed)
    , load_(settings_.loadControl, log, metrics, seed)
    , account_(log, metrics)
    , pool_(settings_.pool)
    , connector_(context, settings_.connector, log, metrics, seed)
    , crashes_(
          connector_,
          settings_.connectTimeout,
          {[this](const auto &instance) { return addressOf(instance); },
           [this](const auto &report) { quarantine_.crashed(report); },
           [this](const auto &instance, const auto &connection) { putIdle(instance, connection); }})
{
    pool_.onIdleEnded(
        [this](const auto &instance) { mayHaveEnded(instance, Dispatch::EndSign::IdleClosed); });
    connector_.onCutOff([this] {
        pool_.closeIf([](const ClientConnection &connection) { return !connection.relay(); });
    });
    connector_.onPathRestored([this] {
        pool_.closeIf(
            [](const ClientConnection &connection) { return connection.relay().has_value(); });
    });
    handlers_ = std::make_shared<CallerHandlers>();
    handlers_->onRequest = [this](const auto &caller, CallerRequest request) {
        onRequest(caller, std::move(request));
    };
    handlers_->onHead = [this](const RequestHead &head) {
        RequestRoute found = findRoute(table_.get(), head, translator_.readRequest(head));
        return HeadDecision{std::move(found.refusal),
                            found.route ? found.route->timeout : Base::Duration::zero()};
    };
    handlers_->onRejected = [this](int status, const std::string &problem) {
        log_.write(Telemetry::LogLevel::Warning,
                   "request rejected with " + std::to_string(status) + ": " + problem,
                   {.step = "parse"});
        countResponse(status, {});
    };
    handlers_->limits
        = [this] { return table_ ? table_->document().limits : Contracts::CallerLimits{}; };
    handlers_->now = [this] { return now(); };
    handlers_->isStopping = [this] { return shutdown_.has_value(); };
    handlers_->onClosed = [this](const auto &connection, const ConnectionEnd &end) {
        connections_.erase(connection);
        account_.connectionClosed(end);
    };
}

PassThrough::~PassThrough() = default;

Base::Instant PassThrough::now() const
{
    return steadyNow();
}

void PassThrough::setMemory(DaemonMemory &memory)
{
    memory_ = &memory;
    handlers_->backlogs = &memory.backlogs();
    handlers_->bodies = &memory.requests();
    handlers_->heads = &memory.heads();
    handlers_->retryAfterFull = settings_.retryAfterBusy;
}

bool PassThrough::configure(Contracts::RoutingDocument document)
{
    if (table_ && document.version <= table_->version()) {
        return false;
    }
    const std::uint64_t version = document.version.value();
    table_ = std::make_shared<const Contracts::RoutingTable>(std::move(document));
    metrics_.gauge("marjoram_routing_version", "Version of the routing document in force")
        .set(static_cast<double>(version));
    return true;
}

void PassThrough::serversChanged(const std::vector<Dispatch::ListedServer> &servers)
{
    placer_.serversChanged(servers);
    serviceVersions_.serversChanged(servers, settings_.continuousNow());
    processes_.serversChanged(servers, now());
    const auto isListed
        = [this](const Dispatch::ServerInstance &instance) { return placer_.isListed(instance); };
    pool_.retain(isListed);
    connector_.paths().retain(isListed);
}

void PassThrough::serversConfirmed(Base::Instant asOf)
{
    const Base::Instant time = settings_.continuousNow();
    serviceVersions_.listConfirmed(time - (now() - asOf), time);
}

void PassThrough::serversConfirmed(Base::Instant asOf,
                                   const std::vector<Dispatch::ListedServer> &listed)
{
    serversConfirmed(asOf);
    const Base::Instant time = settings_.continuousNow();
    if (const auto age = serviceVersions_.entryAge(time, settings_.entryLifetime)) {
        for (const Dispatch::ListedServer &server : listed) {
            processes_.wasAlive(server.instance(), now() - *age);
        }
    }
}

void PassThrough::mayHaveEnded(const Dispatch::ServerInstance &process, Dispatch::EndSign sign)
{
    processes_.mayHaveEnded(process, sign, now());
}

void PassThrough::recordFinding(const Dispatch::ServerInstance &process,
                                ProcessFinding finding,
                                Base::Instant askedAt)
{
    metrics_
        .counter("marjoram_process_checks_total",
                 "Questions to servers which process they are, by result",
                 {{"result", nameOf(finding)}})
        .add();
    if (finding == ProcessFinding::Listed) {
        processes_.wasAlive(process, askedAt);
    } else if (finding != ProcessFinding::Untold) {
        mayHaveEnded(process, Dispatch::EndSign::Failed);
    }
}

/// The responses of one process of a server share what it may take.
Base::MemoryLease PassThrough::leaseForResponse(const Dispatch::ServerInstance &instance) const
{
    return memory_ ? Base::MemoryLease(memory_->responses().holder(
               instance.id.text() + "/" + std::to_string(instance.startedAt)))
                   : Base::MemoryLease();
}

void PassThrough::readServers(SharedRead::Done done)
{
    if (!streams_.readServers) {
        done(false);
        return;
    }
    const Base::Instant begunAt = settings_.continuousNow();
    streams_.readServers([this, begunAt, done = std::move(done)](const auto *servers) {
        metrics_
            .counter("marjoram_stream_server_reads_total",
                     "Reads of the list of servers for streams that are resumed by result",
                     {{"result", servers ? "read" : "failed"}})
            .add();
        if (servers) {
            serviceVersions_.listRead(*servers, begunAt, settings_.continuousNow());
        }
        done(servers != nullptr);
    });
}

Dispatch::ClosureChanges PassThrough::applyClosures(const std::vector<Dispatch::ClosedZone> &closed,
                                                    std::uint64_t revision)
{
    return placer_.applyClosures(closed, revision, now());
}

bool PassThrough::isInClosedZone(const Dispatch::ServerInstance &instance) const
{
    return placer_.isInClosedZone(instance);
}

std::optional<asio::ip::tcp::endpoint> PassThrough::addressOf(
    const Dispatch::ServerInstance &instance) const
{
    const auto address = placer_.addressOf(instance);
    return address ? parseEndpoint(*address) : std::nullopt;
}

void PassThrough::relayStops(const Base::VmId &vm)
{
    connector_.relayStops(vm);
    pool_.closeIf([&](const ClientConnection &connection) { return connection.relay() == vm; });
}

/// A connection that was open before the servers fell silent may hang.
std::shared_ptr<ClientConnection> PassThrough::takeIdle(const Dispatch::ServerInstance &instance)
{
    probePath();
    return connector_.paths().isSilent(now()) && !isCutOff() ? nullptr
                                                             : pool_.take(instance, now());
}

void PassThrough::putIdle(const Dispatch::ServerInstance &instance,
                          const std::shared_ptr<ClientConnection> &connection)
{
    const bool isRelayGone = connection->relay() && !connector_.isRelayUsable(*connection->relay());
    if (placer_.isListed(instance) && !isRelayGone) {
        pool_.put(instance, connection, now());
    } else {
        connection->close();
    }
}

/// Tries the direct path to a server that is reached through another daemon, if it is time.
void PassThrough::probePath()
{
    const auto instance = connector_.paths().takeProbe(now());
    const auto address = instance ? addressOf(*instance) : std::nullopt;
    if (address) {
        connector_.probe({*instance, *address},
                         settings_.connectTimeout,
                         [this, instance = *instance](const auto &connection) {
                             putIdle(instance, connection);
                         });
    }
}

Base::ConfigVersion PassThrough::version() const
{
    return table_ ? table_->version() : Base::ConfigVersion{};
}

std::shared_ptr<const CallerHandlers> PassThrough::callerHandlers()
{
    return handlers_;
}

void PassThrough::addConnection(const std::shared_ptr<CallerConnection> &connection)
{
    connections_.insert(connection);
}

void PassThrough::onRequest(const std::shared_ptr<CallerConnection> &caller, CallerRequest request)
{
    account_.requestRead();
    const auto exchange = std::make_shared<Exchange>(*this, caller, std::move(request));
    exchange->start();
}

void PassThrough::stop(const ShutdownSchedule &schedule)
{
    shutdown_ = schedule;
    shutdownBegan_ = now();
}

bool PassThrough::isAdmitted(const UnsentRequest &request) const
{
    return !shutdown_ || shutdown_->isAdmitted(request, now() - shutdownBegan_);
}

void PassThrough::endRequests()
{
    std::vector<std::shared_ptr<Exchange>> open;
    for (Exchange *exchange : exchanges_) {
        open.push_back(exchange->shared_from_this());
    }
    for (const auto &exchange : open) {
        exchange->onProcessEnding();
    }
}

void PassThrough::closeIdle()
{
    const std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                              connections_.end());
    for (const auto &connection : open) {
        connection->closeIfIdle();
    }
}

void PassThrough::updateGauges()
{
    metrics_
        .gauge("marjoram_doubtful_servers",
               "Listed servers that may have been restarted since they were seen alive")
        .set(static_cast<double>(processes_.doubtfulCount()));
    if (memory_) {
        memory_->updateGauges(metrics_);
    }
}

void PassThrough::countResponse(int status, Base::Duration latency)
{
    metrics_
        .counter("marjoram_answers_total",
                 "Final responses to callers by status; 0 stands for a closed connection",
                 {{"status", std::to_string(status)}})
        .add();
    if (latency > Base::Duration::zero()) {
        metrics_.distribution("marjoram_answer_seconds", "Time to the end of a response")
            .add(Base::toSeconds(latency));
    }
}

} // namespace Proxy
