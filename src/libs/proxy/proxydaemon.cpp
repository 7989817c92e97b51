#include "proxydaemon.h"

#include <csignal>

namespace Proxy {

namespace {

using Telemetry::LogLevel;

/// Pause between looks at what is still open while stopping.
constexpr Base::Duration stopInterval = std::chrono::milliseconds(100);

/// Pause after a failed accept, such as for want of descriptors.
constexpr auto acceptPause = std::chrono::milliseconds(20);

constexpr int listenBacklog = 1024;

void open(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &endpoint)
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(listenBacklog);
}

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
    , callers_(context)
    , status_(context)
    , signals_(context)
    , stopTimer_(context)
{
    statusServices_ = std::make_shared<CallerServices>();
    statusServices_->onRequest = [this](const auto &caller, const CallerRequest &request) {
        answerStatus(caller, request);
    };
    statusServices_->onRejected = [](int, const std::string &) {};
    statusServices_->limits = [] { return Contracts::CallerLimits{}; };
    statusServices_->now = [this] { return passThrough_.now(); };
    statusServices_->isStopping = [] { return false; };
    statusServices_->onClosed = [](const auto &) {};
}

void ProxyDaemon::start()
{
    open(callers_, settings_.callers);
    open(status_, settings_.status);
    accept(callers_, passThrough_.callerServices());
    accept(status_, statusServices_);
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    waitForSignal();
}

void ProxyDaemon::setServersKnown()
{
    areServersKnown_ = true;
    noteReadiness();
}

bool ProxyDaemon::isReady() const
{
    return areServersKnown_ && passThrough_.hasConfiguration() && !stopBegan_;
}

void ProxyDaemon::noteReadiness()
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
                            {"stopping", std::int64_t(stopBegan_.has_value())}}});
}

void ProxyDaemon::accept(asio::ip::tcp::acceptor &acceptor,
                         const std::shared_ptr<const CallerServices> &services)
{
    acceptor.async_accept(
        [this, &acceptor, services](const std::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                log_.write(LogLevel::Error, "accept: " + error.message(), {.step = "accept"});
                auto pause = std::make_shared<asio::steady_timer>(context_, acceptPause);
                pause->async_wait([this, &acceptor, services, pause](const std::error_code &) {
                    accept(acceptor, services);
                });
                return;
            }
            const auto connection = std::make_shared<CallerConnection>(std::move(socket), services);
            if (services != statusServices_) {
                passThrough_.addConnection(connection);
            }
            connection->start();
            accept(acceptor, services);
        });
}

void ProxyDaemon::answerStatus(const std::shared_ptr<CallerConnection> &caller,
                               const CallerRequest &request)
{
    ResponseHead head;
    if (request.head.path() == settings_.readinessPath) {
        noteReadiness();
        head.status = isReady() ? 200 : 503;
        head.reason = reasonOf(head.status);
        caller->respond(head, {});
        return;
    }
    if (request.head.path() == settings_.metricsPath) {
        head.status = 200;
        head.reason = reasonOf(200);
        head.headers.add("Content-Type", "text/plain; version=0.0.4");
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
        // Settings that change while the process runs concern only its next start.
        if (signal != SIGHUP) {
            beginStop();
        }
        waitForSignal();
    });
}

void ProxyDaemon::beginStop()
{
    if (stopBegan_) {
        return;
    }
    stopBegan_ = passThrough_.now();
    passThrough_.stop();
    noteReadiness();
    continueStop();
}

StopStep ProxyDaemon::stepNow() const
{
    return settings_.stop.stepAt(passThrough_.now() - *stopBegan_,
                                 passThrough_.activeRequests(),
                                 passThrough_.openConnections());
}

void ProxyDaemon::continueStop()
{
    StopStep step = stepNow();
    if (!step.isAccepting && callers_.is_open()) {
        std::error_code ignored; // the process ends soon
        callers_.close(ignored);
    }
    if (step.isClosingIdle) {
        passThrough_.closeIdle();
        step = stepNow();
    }
    if (step.isOver) {
        log_.write(LogLevel::Info,
                   "stopped",
                   {.step = "process",
                    .details = {{"active", std::int64_t(passThrough_.activeRequests())}}});
        context_.stop();
        return;
    }
    stopTimer_.expires_after(stopInterval);
    stopTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            continueStop();
        }
    });
}

} // namespace Proxy
