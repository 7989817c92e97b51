#pragma once

#include "clientconnection.h"

#include <dispatch/requestplacer.h>

#include <map>

namespace Proxy {

struct PoolSettings
{
    /// Idle connections kept per server.
    std::size_t maxIdlePerServer = 12;
    /// Longest idle time; also applies if the server does not announce its own timeout.
    Base::Duration maxIdleTime = std::chrono::seconds(4);
    /// Connections close this long before the server's timeout, as a request could otherwise be
    /// sent while the server closes.
    Base::Duration closeMargin = std::chrono::seconds(1);
};

/// Idle connections to backend servers, by server instance.
class ConnectionPool
{
public:
    explicit ConnectionPool(PoolSettings settings);

    /// Calls back when a server ends an idle connection, or sends bytes on it.
    void onIdleEnded(std::function<void(const Dispatch::ServerInstance &)> callback)
    {
        onIdleEnded_ = std::move(callback);
    }

    /// Returns the connection that was used last, so that the others can expire; null if none is
    /// idle.
    std::shared_ptr<ClientConnection> take(const Dispatch::ServerInstance &instance,
                                           Base::Instant now);
    /// Keeps the connection if it can be reused, otherwise closes it.
    void put(const Dispatch::ServerInstance &instance,
             const std::shared_ptr<ClientConnection> &connection,
             Base::Instant now);
    void closeAll(const Dispatch::ServerInstance &instance);
    /// Closes the idle connections for which \a isUnwanted returns true.
    void closeIf(const std::function<bool(const ClientConnection &)> &isUnwanted);
    /// Closes connections to servers for which \a isKept returns false.
    void retain(const std::function<bool(const Dispatch::ServerInstance &)> &isKept);

private:
    struct Idle
    {
        std::shared_ptr<ClientConnection> connection;
        Base::Instant usableUntil;
    };

    void drop(const Dispatch::ServerInstance &instance, const ClientConnection *connection);

    PoolSettings settings_;
    std::function<void(const Dispatch::ServerInstance &)> onIdleEnded_
        = [](const Dispatch::ServerInstance &) {};
    std::map<Dispatch::ServerInstance, std::vector<Idle>> idle_;
};

} // namespace Proxy
