#include "daemonruntime.h"

#include "backendruns.h"
#include "callerserver.h"

#include <backends/platformclient.h>
#include <base/visitor.h>
#include <operators/operatorservice.h>
#include <peercodec/peercodec.h>
#include <rpc/peertransport.h>
#include <rpc/thriftserver.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <condition_variable>
#include <thread>

namespace Runtime {

namespace {

using Base::Instant;
using Base::Visitor;
using Scheduler::DaemonCore;

constexpr std::chrono::milliseconds drainPollInterval(50);
constexpr std::chrono::seconds certificateReloadInterval(5);
constexpr Base::Duration minTimerInterval = std::chrono::milliseconds(1);

Base::IncarnationId makeIncarnation(const Base::VmId &vm, std::uint64_t seed)
{
    constexpr std::uint64_t suffixRange = 1'000'000'000'000ULL;
    return Base::IncarnationId(vm.text() + "-" + std::to_string(seed % suffixRange));
}

Rpc::PeerTransportSettings transportSettings(const DaemonSettings &settings,
                                             const Base::IncarnationId &self)
{
    Rpc::PeerTransportSettings result;
    result.self = self;
    result.listen = {settings.peers.address, settings.peers.port};
    result.tls = settings.peerTls;
    return result;
}

Backends::PlatformOptions platformOptions(const DaemonSettings &settings, std::uint64_t seed)
{
    Backends::PlatformOptions options;
    options.baseUrl = settings.platformUrl;
    options.jitterSeed = seed;
    return options;
}

Telemetry::LogLevel toLevel(Scheduler::Severity severity)
{
    switch (severity) {
    case Scheduler::Severity::Info:
        return Telemetry::LogLevel::Info;
    case Scheduler::Severity::Warning:
        return Telemetry::LogLevel::Warning;
    case Scheduler::Severity::Error:
        break;
    }
    return Telemetry::LogLevel::Error;
}

} // namespace

class DaemonRuntime::Private : public Operators::DaemonAccess
{
public:
    Private(const DaemonSettings &settings, std::uint64_t seed);

    void start();
    void execute(Scheduler::CoreAction &action);
    void armTimer();
    void statusRequest(const Gateway::IncomingRequest &request);
    void peerMessages(const Base::IncarnationId &sender,
                      const std::vector<PeerProtocol::PeerMessage> &messages);
    void peerFailed(const Base::IncarnationId &peer,
                    const std::vector<PeerProtocol::PeerMessage> &messages);
    void sendToPeer(const Scheduler::SendToPeer &send);
    void finish(ExitReason end);
    bool drain();
    void stopAll();
    std::string metricsText();

    void submitEdit(Contracts::SubmitEdit edit) override;
    std::shared_ptr<const Contracts::ConfigurationDocument> configuration() const override;
    OperatorProtocol::DaemonStatus status() const override;

    DaemonSettings settings_;
    Base::IncarnationId incarnation_;
    Telemetry::Log log_;
    Telemetry::Metrics metrics_;
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
    Backends::HttpClient http_;
    SynchronizedCore core_;
    BackendRuns runs_;
    CallerServer callers_;
    Gateway::HttpServer status_;
    Rpc::PeerTransport peers_;
    std::unique_ptr<Backends::PlatformClient> platform_;
    std::shared_ptr<Operators::OperatorService> operators_;
    Rpc::ThriftServer operatorServer_;
    asio::steady_timer timer_;
    std::atomic<bool> isDraining_ = false;
    std::atomic<bool> isStopped_ = false;

    std::mutex stateMutex_;
    std::condition_variable stateChanged_;
    std::optional<ExitReason> exitReason_;
    bool isStopRequested_ = false;
    bool isHandedOver_ = false;
};

DaemonRuntime::Private::Private(const DaemonSettings &settings, std::uint64_t seed)
    : settings_(settings)
    , incarnation_(makeIncarnation(settings.vm, seed))
    , log_(settings.log)
    , work_(asio::make_work_guard(context_))
    , core_(coreSettings(settings, incarnation_, seed),
            [this](Scheduler::CoreAction &action) { execute(action); })
    , runs_(http_, core_)
    , callers_(context_, settings, core_, metrics_)
    , status_(
          context_,
          Gateway::HttpServerSettings{.address = settings.status.address,
                                      .port = settings.status.port,
                                      .maxBody = Base::Bytes(0)},
          {.onRequest = [this](const Gateway::IncomingRequest &request) { statusRequest(request); },
           .onCallerDisconnected = [](Base::RequestId) {}})
    , peers_(transportSettings(settings, incarnation_),
             {[this](const Base::IncarnationId &sender,
                     const std::vector<PeerProtocol::PeerMessage> &messages) {
                  peerMessages(sender, messages);
              },
              [this](const Base::IncarnationId &peer,
                     const std::vector<PeerProtocol::PeerMessage> &messages) {
                  peerFailed(peer, messages);
              }})
    , platform_(std::make_unique<Backends::PlatformClient>(http_, platformOptions(settings, seed)))
    , operators_(
          std::make_shared<Operators::OperatorService>(settings.operatorAccounts, *this, log_))
    , operatorServer_({settings.operators.address, settings.operators.port, settings.operatorTls},
                      std::make_shared<OperatorProtocol::OperatorProcessor>(operators_))
    , timer_(context_)
{}

void DaemonRuntime::Private::start()
{
    log_.write(Telemetry::LogLevel::Info, "starting as " + incarnation_.text(), {.step = "start"});
    peers_.start();
    operatorServer_.start();
    status_.start();
    for (unsigned i = 0; i < settings_.workers; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
    core_.with([](DaemonCore &core, Instant now) { core.start(now); });
    platform_->watch(Platform::ObjectKind::Configuration,
                     std::string(),
                     [this](const Backends::WatchEvent &event) {
                         if (const auto *change = std::get_if<Backends::ObjectUpdated>(&event)) {
                             core_.with([&](DaemonCore &core, Instant now) {
                                 core.configurationEventReceived(change->object, now);
                             });
                         }
                     });
    callers_.start();
    asio::post(context_, [this] { armTimer(); });
}

void DaemonRuntime::Private::armTimer()
{
    const Instant now = core_.now();
    const Base::Duration pause = std::max(core_.nextWakeUp() - now, minTimerInterval);
    // Other events may move the next wake-up to an earlier time without setting the timer, so it is
    // polled at this interval.
    constexpr Base::Duration maxTimerInterval = std::chrono::milliseconds(10);
    timer_.expires_after(std::min(pause, maxTimerInterval));
    timer_.async_wait([this](const std::error_code &error) {
        if (error) {
            return;
        }
        if (core_.nextWakeUp() <= core_.now()) {
            core_.with([](DaemonCore &core, Instant tickAt) { core.tick(tickAt); });
        }
        armTimer();
    });
}

void DaemonRuntime::Private::execute(Scheduler::CoreAction &action)
{
    std::visit(
        Visitor{[&](Scheduler::CallStore &call) {
                    platform_->execute(std::move(call.request), [this](Platform::StoreReply reply) {
                        core_.with([&](DaemonCore &core, Instant now) {
                            core.storeReplied(std::move(reply), now);
                        });
                    });
                },
                [&](const Scheduler::SendToPeer &send) { sendToPeer(send); },
                [&](const Scheduler::AnswerCaller &answer) { callers_.answer(answer); },
                [&](const Scheduler::RunModelCall &call) { runs_.run(call); },
                [&](const Scheduler::RunPlainCall &call) { runs_.run(call); },
                [&](const Scheduler::CancelRun &cancel) { runs_.cancel(cancel.id); },
                [&](const Scheduler::ReleaseEngineCache &release) { runs_.release(release); },
                [&](const Scheduler::ProbeServer &probe) { runs_.probe(probe); },
                [&](const Scheduler::LogEntry &entry) {
                    log_.write(toLevel(entry.severity),
                               entry.message,
                               {.program = entry.program.text(),
                                .team = entry.team.text(),
                                .step = entry.step,
                                .peer = entry.peer});
                },
                [&](const Scheduler::AnswerEdit &answer) { operators_->editAnswered(answer); },
                [&](const Scheduler::IncarnationEnded &) { finish(ExitReason::Fenced); },
                [&](const Scheduler::HandoverComplete &) {
                    const std::lock_guard lock(stateMutex_);
                    isHandedOver_ = true;
                    stateChanged_.notify_all();
                }},
        action);
}

void DaemonRuntime::Private::sendToPeer(const Scheduler::SendToPeer &send)
{
    const bool isQueued = peers_.send(
        send.to, {send.address.ip, send.address.port}, PeerCodec::encode(send.message));
    if (!isQueued) {
        asio::post(context_, [this, to = send.to, message = send.message] {
            core_.with([&](DaemonCore &core, Instant now) { core.peerFailed(to, {message}, now); });
        });
    }
}

void DaemonRuntime::Private::peerMessages(const Base::IncarnationId &sender,
                                          const std::vector<PeerProtocol::PeerMessage> &messages)
{
    core_.with([&](DaemonCore &core, Instant now) {
        for (const PeerProtocol::PeerMessage &wire : messages) {
            Base::Result<Scheduler::PeerMessage> message = PeerCodec::decode(wire);
            if (message) {
                core.peerMessage(sender, std::move(message.value()), now);
            }
        }
    });
}

void DaemonRuntime::Private::peerFailed(const Base::IncarnationId &peer,
                                        const std::vector<PeerProtocol::PeerMessage> &messages)
{
    std::vector<Scheduler::PeerMessage> failed;
    for (const PeerProtocol::PeerMessage &wire : messages) {
        Base::Result<Scheduler::PeerMessage> message = PeerCodec::decode(wire);
        if (message) {
            failed.push_back(std::move(message.value()));
        }
    }
    core_.with([&](DaemonCore &core, Instant now) { core.peerFailed(peer, failed, now); });
}

std::string DaemonRuntime::Private::metricsText()
{
    const auto [programs, bytes, partitions, version] = core_.query([](const DaemonCore &core) {
        return std::tuple(core.programCount(),
                          core.programMemory().value(),
                          core.servedPartitions(),
                          core.configuration()->version.value());
    });
    metrics_.gauge("marjoram_programs", "Programs owned here").set(static_cast<double>(programs));
    metrics_.gauge("marjoram_program_bytes", "Memory of programs owned here")
        .set(static_cast<double>(bytes));
    metrics_.gauge("marjoram_partitions", "Partitions served here")
        .set(static_cast<double>(partitions));
    metrics_.gauge("marjoram_config_version", "Configuration version in force")
        .set(static_cast<double>(version));
    const auto [requests, runs] = core_.query(
        [](const DaemonCore &core) { return std::pair(core.openRequests(), core.openRuns()); });
    metrics_.gauge("marjoram_open_requests", "Requests that are not answered")
        .set(static_cast<double>(requests));
    metrics_.gauge("marjoram_open_runs", "Calls that wait for a backend server or run there")
        .set(static_cast<double>(runs));
    metrics_.gauge("marjoram_open_http_requests", "HTTP requests without a complete answer")
        .set(static_cast<double>(callers_.pendingRequests()));
    callers_.updateMetrics();
    metrics_.gauge("marjoram_peer_messages", "Messages acknowledged by peers")
        .set(static_cast<double>(peers_.messagesSent()));
    return metrics_.prometheusText();
}

void DaemonRuntime::Private::statusRequest(const Gateway::IncomingRequest &request)
{
    if (request.target == "/healthz") {
        const bool isReady
            = !isDraining_ && core_.query([](const DaemonCore &core) { return core.isReady(); });
        status_.answer(request.id,
                       {isReady ? 200 : 503,
                        "application/json",
                        isReady ? R"({"status":"ready"})" : R"({"status":"not ready"})",
                        {}});
        return;
    }
    if (request.target == "/metrics") {
        status_.answer(request.id, {200, "text/plain; version=0.0.4", metricsText(), {}});
        return;
    }
    status_.answer(request.id, {404, "application/json", R"({"error":"no such path"})", {}});
}

void DaemonRuntime::Private::submitEdit(Contracts::SubmitEdit edit)
{
    core_.with([&](DaemonCore &core, Instant now) { core.edit(std::move(edit), now); });
}

std::shared_ptr<const Contracts::ConfigurationDocument> DaemonRuntime::Private::configuration()
    const
{
    return core_.query([](const DaemonCore &core) { return core.configuration(); });
}

OperatorProtocol::DaemonStatus DaemonRuntime::Private::status() const
{
    OperatorProtocol::DaemonStatus result;
    result.incarnation = incarnation_.text();
    core_.query([&](const DaemonCore &core) {
        result.configVersion = static_cast<std::int64_t>(core.configuration()->version.value());
        result.partitions = static_cast<std::int32_t>(core.servedPartitions());
        result.programs = static_cast<std::int32_t>(core.programCount());
        result.programBytes = core.programMemory().value();
        result.isReady = core.isReady();
    });
    return result;
}

void DaemonRuntime::Private::finish(ExitReason end)
{
    const std::lock_guard lock(stateMutex_);
    if (!exitReason_) {
        exitReason_ = end;
    }
    stateChanged_.notify_all();
}

bool DaemonRuntime::Private::drain()
{
    log_.write(Telemetry::LogLevel::Info, "shutting down", {.step = "shutdown"});
    isDraining_ = true;
    const auto drainDeadline = std::chrono::steady_clock::now() + settings_.drainTimeout;
    core_.with([](DaemonCore &core, Instant now) { core.beginShutdown(now); });
    // The listener stays open until the load balancer has noticed that /healthz fails.
    std::this_thread::sleep_for(settings_.leaveNotice);
    callers_.stopAccepting();
    auto idleSince = std::chrono::steady_clock::now();
    std::unique_lock lock(stateMutex_);
    while (std::chrono::steady_clock::now() < drainDeadline) {
        lock.unlock();
        const bool isBusy = callers_.pendingRequests() > 0
                            || core_.query([](const DaemonCore &core) { return core.isBusy(); });
        lock.lock();
        if (isBusy) {
            idleSince = std::chrono::steady_clock::now();
        }
        const bool isHandoverLate
            = std::chrono::steady_clock::now() - idleSince >= settings_.handoverTimeout;
        if (!isBusy && (isHandedOver_ || isHandoverLate)) {
            return true;
        }
        stateChanged_.wait_for(lock, drainPollInterval);
    }
    return false;
}

void DaemonRuntime::Private::stopAll()
{
    if (isStopped_.exchange(true)) {
        return;
    }
    callers_.answerAll(
        Base::Error{.code = Base::ErrorCode::Unavailable,
                    .step = Base::Step::Reply,
                    .peer = incarnation_.text(),
                    .ran = Base::Ran::MayHaveRun,
                    .message = "this daemon stopped before the call was answered; repeat the call",
                    .retryAfter = std::chrono::seconds(1)});
    // The workers send the answers before they are stopped.
    std::this_thread::sleep_for(drainPollInterval);
    operatorServer_.stop();
    peers_.stop();
    platform_.reset();
    work_.reset();
    context_.stop();
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

DaemonRuntime::DaemonRuntime(const DaemonSettings &settings, std::uint64_t seed)
    : d_(std::make_unique<Private>(settings, seed))
{}

DaemonRuntime::~DaemonRuntime()
{
    // Required if start() threw an exception or wait() was not called.
    d_->stopAll();
}

void DaemonRuntime::start()
{
    d_->start();
}

void DaemonRuntime::requestStop()
{
    const std::lock_guard lock(d_->stateMutex_);
    d_->isStopRequested_ = true;
    d_->stateChanged_.notify_all();
}

ExitReason DaemonRuntime::wait()
{
    bool isStopRequested = false;
    {
        std::unique_lock lock(d_->stateMutex_);
        while (!d_->exitReason_ && !d_->isStopRequested_) {
            d_->stateChanged_.wait_for(lock, certificateReloadInterval);
            lock.unlock();
            d_->peers_.reloadCertificates();
            d_->operatorServer_.reloadCertificates();
            lock.lock();
        }
        isStopRequested = !d_->exitReason_;
    }
    ExitReason end = ExitReason::Fenced;
    if (isStopRequested) {
        end = d_->drain() ? ExitReason::Stopped : ExitReason::DrainTimedOut;
    }
    d_->stopAll();
    return end;
}

} // namespace Runtime
