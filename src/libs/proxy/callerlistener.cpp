#include "callerlistener.h"

#include <utility>

namespace Proxy {

namespace {

using Telemetry::LogLevel;

/// Pause after a failed accept, for example if no file descriptors are left.
constexpr auto acceptPause = std::chrono::milliseconds(20);

/// Connections that are accepted at a time, so that few wait with unread bytes.
constexpr int maxAccepted = 32;

/// Callers decide how often a connection is closed, so the rate of log lines must not follow them.
constexpr Base::Duration reportInterval = std::chrono::seconds(10);

constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\n"
                                     "Content-Length: 0\r\nConnection: close\r\n\r\n";

/// A caller that does not get the response sees that its request was not handled.
void refuse(asio::ip::tcp::socket &socket)
{
    std::error_code ignored; // the connection ends anyway
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(refusal), ignored);
}

} // namespace

CallerListener::CallerListener(asio::io_context &context,
                               Telemetry::Log &log,
                               Telemetry::Metrics *metrics)
    : context_(context)
    , log_(log)
    , metrics_(metrics)
    , acceptor_(context)
    , pause_(context)
{}

void CallerListener::start(ListenerSettings settings,
                           const asio::ip::tcp::endpoint &address,
                           std::shared_ptr<const CallerHandlers> handlers,
                           OnConnection onConnection)
{
    settings_ = std::move(settings);
    handlers_ = std::move(handlers);
    onConnection_ = std::move(onConnection);
    limit_ = std::make_shared<ConnectionLimit>(settings_.connections);
    acceptor_.open(address.protocol());
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    if (settings_.receiveBytes) {
        // Connections inherit it, so that it also applies before they are accepted.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(*settings_.receiveBytes));
    }
    acceptor_.bind(address);
    acceptor_.listen(settings_.backlog);
    acceptor_.non_blocking(true);
    accept();
}

void CallerListener::close()
{
    std::error_code ignored; // the listener is gone either way
    acceptor_.close(ignored);
    pause_.cancel();
}

void CallerListener::accept()
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            acceptLater(error);
            return;
        }
        serve(std::move(socket));
        acceptWaiting();
    });
}

void CallerListener::acceptWaiting()
{
    for (int i = 0; i < maxAccepted && acceptor_.is_open(); ++i) {
        std::error_code error;
        asio::ip::tcp::socket socket = acceptor_.accept(error);
        if (error) {
            break; // the next asynchronous accept reports what is more than that none waits
        }
        serve(std::move(socket));
    }
    if (acceptor_.is_open()) {
        accept();
    }
}

void CallerListener::acceptLater(const std::error_code &error)
{
    log_.write(LogLevel::Error,
               "cannot accept a connection: " + error.message(),
               {.step = "accept", .details = {{"listener", settings_.name}}});
    pause_.expires_after(acceptPause);
    pause_.async_wait([this](const std::error_code &cancelled) {
        if (!cancelled && acceptor_.is_open()) {
            accept();
        }
    });
}

void CallerListener::serve(asio::ip::tcp::socket socket)
{
    if (!limit_->makeRoom()) {
        refuse(socket);
        report();
        return;
    }
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), handlers_);
    connection->setPlace(limit_->add([weak = std::weak_ptr(connection)] {
        const auto open = weak.lock();
        return open && open->closeForOthers();
    }));
    if (onConnection_) {
        onConnection_(connection);
    }
    connection->start();
    report();
}

void CallerListener::report()
{
    const std::uint64_t closed = limit_->closed() - reportedClosed_;
    const std::uint64_t refused = limit_->refused() - reportedRefused_;
    if (closed + refused == 0) {
        return;
    }
    if (metrics_) {
        const auto set = [&](const char *name, const char *help, std::uint64_t value) {
            metrics_->gauge(name, help, {{"listener", settings_.name}})
                .set(static_cast<double>(value));
        };
        set("marjoram_connections_closed_for_others",
            "Connections closed since the start as others arrived",
            limit_->closed());
        set("marjoram_connections_refused",
            "Connections refused since the start as all others had requests in progress",
            limit_->refused());
    }
    const Base::Instant now = handlers_->now();
    if (reportedAt_ && now - *reportedAt_ < reportInterval) {
        return;
    }
    reportedAt_ = now;
    reportedClosed_ = limit_->closed();
    reportedRefused_ = limit_->refused();
    log_.write(LogLevel::Warning,
               "connections at the limit",
               {.step = "accept",
                .details = {{"listener", settings_.name},
                            {"limit", static_cast<std::int64_t>(limit_->capacity())},
                            {"closed", static_cast<std::int64_t>(closed)},
                            {"refused", static_cast<std::int64_t>(refused)}}});
}

} // namespace Proxy
