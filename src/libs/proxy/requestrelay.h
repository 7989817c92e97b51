#pragma once

#include "refusedsources.h"

#include <base/instant.h>
#include <dispatch/requestplacer.h>
#include <telemetry/log.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace Proxy {

/// Status of the response if the server cannot be reached from here either.
inline constexpr int relayNoServer = 502;
/// Status of the response if this daemon cannot help: it is cut off, stopping or busy.
inline constexpr int relayUnavailable = 503;

/// The request of a daemon for a connection to the server. After a response with status 200, the
/// connection carries the bytes to and from the server.
std::string relayRequest(const Dispatch::ServerInstance &instance);

struct RelaySettings
{
    asio::ip::tcp::endpoint address;
    /// A reachable server accepts within one round trip.
    Base::Duration connectTimeout = std::chrono::milliseconds(200);
    /// Time for the request of the daemon.
    Base::Duration requestTimeout = std::chrono::seconds(1);
    std::size_t maxSessions = 512;
    /// Interval at which the other daemons are told that this one stops, as notices may be lost.
    Base::Duration stopNoticeInterval = std::chrono::milliseconds(500);
};

/// Connects to backend servers for daemons that do not reach them. Everything that concerns the
/// requests is decided by the daemon that sends them; bytes pass unchanged. Never uses another
/// daemon itself.
class RequestRelay
{
public:
    /// Returns the address of a listed server.
    using Lookup
        = std::function<std::optional<asio::ip::tcp::endpoint>(const Dispatch::ServerInstance &)>;

    RequestRelay(asio::io_context &context,
                 RelaySettings settings,
                 Lookup lookup,
                 std::function<bool()> isCutOff,
                 Telemetry::Log &log,
                 Telemetry::Metrics &metrics);
    ~RequestRelay();

    /// Serves connections from addresses for which \a isPeer returns true, and those from this VM.
    void setPeers(std::function<bool(const asio::ip::address &)> isPeer)
    {
        isPeer_ = std::move(isPeer);
    }

    /// Requests to servers for which \a isClosed returns true are refused; those that are already
    /// running end by themselves.
    void setClosedServers(std::function<bool(const Dispatch::ServerInstance &)> isClosed)
    {
        isClosed_ = std::move(isClosed);
    }

    /// Throws std::exception if the address cannot be bound.
    void start();
    /// Accepts no new sessions. Calls \a notifyPeers at once and at intervals until the end, so
    /// that the other daemons send no new requests through open sessions.
    void stop(std::function<void()> notifyPeers);
    std::size_t sessionCount() const { return sessions_.size(); }
    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    class Session;

    void accept();
    void acceptLater();
    void serve(asio::ip::tcp::socket socket);
    void sendStopNotices();
    bool mayConnect() const;

    asio::io_context &context_;
    RelaySettings settings_;
    Lookup lookup_;
    std::function<bool()> isCutOff_;
    std::function<bool(const Dispatch::ServerInstance &)> isClosed_
        = [](const Dispatch::ServerInstance &) { return false; };
    std::function<bool(const asio::ip::address &)> isPeer_
        = [](const asio::ip::address &) { return false; };
    Telemetry::Log &log_;
    RefusedSources refused_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptPause_;
    std::set<std::shared_ptr<Session>> sessions_;
    bool isStopping_ = false;
    std::function<void()> notifyPeers_;
    asio::steady_timer noticeTimer_;
};

} // namespace Proxy
