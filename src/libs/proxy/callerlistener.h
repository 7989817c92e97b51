#pragma once

#include "callerconnection.h"
#include "connectionlimit.h"

#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace Proxy {

struct ListenerSettings
{
    /// Names the listener in logs and metrics.
    std::string name;
    std::size_t connections = ConnectionLimit::unlimited;
    int backlog = 1024;
    /// Receive buffer of a connection; unset means that the system chooses.
    std::optional<int> receiveBytes;
};

/// Accepts the connections of callers at one address. If it may keep no more, it closes the one
/// that has gone longest without progress, or refuses the new one if all have requests in progress.
class CallerListener
{
public:
    using OnConnection = std::function<void(const std::shared_ptr<CallerConnection> &)>;

    CallerListener(asio::io_context &context, Telemetry::Log &log, Telemetry::Metrics *metrics);

    /// Throws std::exception if the address cannot be bound. \a onConnection is called for each
    /// connection before it starts.
    void start(ListenerSettings settings,
               const asio::ip::tcp::endpoint &address,
               std::shared_ptr<const CallerHandlers> handlers,
               OnConnection onConnection = {});
    bool isOpen() const { return acceptor_.is_open(); }
    void close();
    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    void accept();
    void acceptWaiting();
    void acceptLater(const std::error_code &error);
    void serve(asio::ip::tcp::socket socket);
    void report();

    asio::io_context &context_;
    Telemetry::Log &log_;
    /// Null if nothing is counted.
    Telemetry::Metrics *metrics_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    ListenerSettings settings_;
    std::shared_ptr<ConnectionLimit> limit_;
    std::shared_ptr<const CallerHandlers> handlers_;
    OnConnection onConnection_;
    std::optional<Base::Instant> reportedAt_;
    std::uint64_t reportedClosed_ = 0;
    std::uint64_t reportedRefused_ = 0;
};

} // namespace Proxy
