#pragma once

#include "callerlistener.h"
#include "connectionshares.h"
#include "passthrough.h"
#include "shutdownschedule.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace Proxy {

struct ProxyDaemonSettings
{
    asio::ip::tcp::endpoint callers;
    /// Endpoint of readiness and metrics.
    asio::ip::tcp::endpoint status;
    std::string readinessPath = "/healthz";
    std::string metricsPath = "/metrics";
    ShutdownSchedule stop;
    ConnectionShares connections;
};

/// Process-level part of a proxy daemon: listeners, readiness, signals and graceful shutdown.
class ProxyDaemon
{
public:
    ProxyDaemon(asio::io_context &context,
                ProxyDaemonSettings settings,
                PassThrough &passThrough,
                Telemetry::Log &log,
                Telemetry::Metrics &metrics);

    /// Throws std::exception if an address cannot be bound.
    void start();
    /// What other parts of the process do in a graceful shutdown.
    struct ShutdownHooks
    {
        std::function<void()> began = [] {};
        /// Connections that other daemons use.
        std::function<std::size_t()> openSessions = [] { return std::size_t(0); };
    };

    void setShutdownHooks(ShutdownHooks hooks) { hooks_ = std::move(hooks); }
    /// A daemon is ready once it has a configuration and a server list.
    void setServersKnown();

private:
    void respondToStatusRequest(const std::shared_ptr<CallerConnection> &caller,
                                const CallerRequest &request);
    void waitForSignal();
    void beginShutdown();
    void continueShutdown();
    Base::Duration shutdownTime() const;
    ShutdownState shutdownState() const;
    bool isReady() const;
    void logReadiness();

    asio::io_context &context_;
    ProxyDaemonSettings settings_;
    PassThrough &passThrough_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    CallerListener callers_;
    CallerListener status_;
    asio::signal_set signals_;
    ShutdownHooks hooks_;
    asio::steady_timer shutdownTimer_;
    std::shared_ptr<CallerHandlers> statusHandlers_;
    std::optional<Base::Instant> shutdownBegan_;
    bool areServersKnown_ = false;
    bool wasReady_ = false;
};

} // namespace Proxy
