#include "proxydaemon.h"

#include "processsignals.h"

#include <algorithm>
#include <csignal>

namespace Proxy {

namespace {

using Telemetry::LogLevel;

/// Interval at which open requests and connections are checked during the shutdown.
constexpr Base::Duration shutdownCheckInterval = std::chrono::milliseconds(100);

} // namespace

ProxyDaemon::ProxyDaemon(asio::io_context &context,
                         ProxyDaemonSettings settings,
                         PassThrough &passThrough,
                         Telemetry::Log &log,
                         Telemetry::Metrics &metrics)
    : context_(context)
    , settings_(std::move(settings))
    , passThrough_(passThrough)
    , log_(log)
    , metrics_(metrics)
    , callers_(context, log, &metrics)
    , status_(context, log, &metrics)
    , signals_(context)
    , shutdownTimer_(context)
{
    statusHandlers_ = std::make_shared<CallerHandlers>();
    statusHandlers_->onRequest = [this](const auto &caller, const CallerRequest &request) {
        respondToStatusRequest(caller, request);
    };
    statusHandlers_->onRejected = [](int, const std::string &) {};
    statusHandlers_->limits = [] {
        Contracts::CallerLimits limits;
        limits.bodyBytes = 0; // no status needs one
        return limits;
    };
    statusHandlers_->now = [this] { return passThrough_.now(); };
    statusHandlers_->isStopping = [] { return false; };
    statusHandlers_->onClosed = [](const auto &, const auto &) {};
}

void ProxyDaemon::start()
{
    const ConnectionShares &shares = settings_.connections;
    callers_.start({"callers", shares.callers, shares.backlog, shares.receiveBytes},
                   settings_.callers,
                   passThrough_.callerHandlers(),
                   [this](const auto &connection) { passThrough_.addConnection(connection); });
    status_.start({"status", shares.status, shares.backlog, shares.receiveBytes},
                  settings_.status,
                  statusHandlers_);
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    deliverSignals();
    waitForSignal();
}

void ProxyDaemon::setServersKnown()
{
    areServersKnown_ = true;
    logReadiness();
}

bool ProxyDaemon::isReady() const
{
    return areServersKnown_ && passThrough_.hasConfiguration() && !shutdownBegan_;
}

void ProxyDaemon::logReadiness()
{
    if (wasReady_ == isReady()) {
        return;
    }
    wasReady_ = isReady();
    log_.write(LogLevel::Info,
               wasReady_ ? "ready" : "not ready",
               {.step = "status",
                .details = {{"configuration", std::int64_t(passThrough_.hasConfiguration())},
                            {"servers", std::int64_t(areServersKnown_)},
                            {"stopping", std::int64_t(shutdownBegan_.has_value())}}});
}

void ProxyDaemon::respondToStatusRequest(const std::shared_ptr<CallerConnection> &caller,
                                         const CallerRequest &request)
{
    ResponseHead head;
    if (request.head.path() == settings_.readinessPath) {
        logReadiness();
        head.status = isReady() ? 200 : 503;
        head.reason = reasonOf(head.status);
        caller->respond(head, {});
        return;
    }
    if (request.head.path() == settings_.metricsPath) {
        head.status = 200;
        head.reason = reasonOf(200);
        head.headers.add("Content-Type", "text/plain; version=0.0.4");
        passThrough_.updateGauges();
        caller->respond(head, metrics_.prometheusText());
        return;
    }
    head.status = 404;
    head.reason = reasonOf(404);
    caller->respond(head, {});
}

void ProxyDaemon::waitForSignal()
{
    signals_.async_wait([this](const std::error_code &error, int signal) {
        if (error) {
            return;
        }
        log_.write(LogLevel::Info,
                   "signal",
                   {.step = "process", .details = {{"number", std::int64_t(signal)}}});
        // Changed settings apply only after a restart, so SIGHUP has no effect.
        if (signal != SIGHUP) {
            beginShutdown();
        }
        waitForSignal();
    });
}

void ProxyDaemon::beginShutdown()
{
    if (shutdownBegan_) {
        return;
    }
    shutdownBegan_ = passThrough_.now();
    passThrough_.stop(settings_.stop);
    hooks_.began();
    logReadiness();
    continueShutdown();
}

Base::Duration ProxyDaemon::shutdownTime() const
{
    return passThrough_.now() - *shutdownBegan_;
}

ShutdownState ProxyDaemon::shutdownState() const
{
    return settings_.stop.stateAt(shutdownTime(),
                                  passThrough_.activeRequests(),
                                  passThrough_.openConnections() + hooks_.openSessions());
}

void ProxyDaemon::continueShutdown()
{
    ShutdownState state = shutdownState();
    if (!state.isAccepting && callers_.isOpen()) {
        callers_.close();
    }
    if (state.isEndingRequests) {
        passThrough_.endRequests();
    }
    if (state.isClosingIdle) {
        passThrough_.closeIdle();
        state = shutdownState();
    }
    if (state.isFinished) {
        log_.write(LogLevel::Info,
                   "stopped",
                   {.step = "process",
                    .details = passThrough_.account().summary(passThrough_.activeRequests())});
        context_.stop();
        return;
    }
    shutdownTimer_.expires_after(
        std::min(shutdownCheckInterval, settings_.stop.untilNextChange(shutdownTime())));
    shutdownTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            continueShutdown();
        }
    });
}

} // namespace Proxy
