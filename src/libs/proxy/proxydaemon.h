#pragma once

#include "passthrough.h"
#include "stopplan.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace Proxy {

struct ProxyDaemonSettings
{
    asio::ip::tcp::endpoint callers;
    /// Readiness and metrics.
    asio::ip::tcp::endpoint status;
    std::string readinessPath = "/healthz";
    std::string metricsPath = "/metrics";
    StopPlan stop;
};

/// The sockets and signals of a daemon that passes requests on: listeners, readiness, graceful end.
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
    /// Ready once the configuration and a list of servers are known.
    void setServersKnown();

private:
    void accept(asio::ip::tcp::acceptor &acceptor,
                const std::shared_ptr<const CallerServices> &services);
    void answerStatus(const std::shared_ptr<CallerConnection> &caller,
                      const CallerRequest &request);
    void waitForSignal();
    void beginStop();
    void continueStop();
    StopStep stepNow() const;
    bool isReady() const;
    void noteReadiness();

    asio::io_context &context_;
    ProxyDaemonSettings settings_;
    PassThrough &passThrough_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    asio::ip::tcp::acceptor callers_;
    asio::ip::tcp::acceptor status_;
    asio::signal_set signals_;
    asio::steady_timer stopTimer_;
    std::shared_ptr<CallerServices> statusServices_;
    std::optional<Base::Instant> stopBegan_;
    bool areServersKnown_ = false;
    bool wasReady_ = false;
};

} // namespace Proxy
