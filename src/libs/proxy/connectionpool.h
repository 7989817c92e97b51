#pragma once

#include "clientconnection.h"

#include <dispatch/requestplacer.h>

#include <map>

namespace Proxy {

struct PoolSettings
{
    /// Idle connections kept for one server.
    std::size_t idlePerServer = 12;
    /// Kept no longer than this where the server does not say how long it keeps them itself.
    Base::Duration longestIdle = std::chrono::seconds(4);
    /// Closed this long before the server would, as a request could cross its close.
    Base::Duration closeMargin = std::chrono::seconds(1);
};

/// Idle connections to backend servers, by the life of the server.
class ConnectionPool
{
public:
    explicit ConnectionPool(PoolSettings settings);

    /// The connection used last, as the others may then end; null if none is idle.
    std::shared_ptr<ClientConnection> take(const Dispatch::ServerInstance &instance,
                                           Base::Instant now);
    /// Keeps the connection if it may be used again, else closes it.
    void give(const Dispatch::ServerInstance &instance,
              const std::shared_ptr<ClientConnection> &connection,
              Base::Instant now);
    void closeAll(const Dispatch::ServerInstance &instance);
    /// Closes connections to servers of which the check does not hold.
    void retain(const std::function<bool(const Dispatch::ServerInstance &)> &isKept);

private:
    struct Idle
    {
        std::shared_ptr<ClientConnection> connection;
        Base::Instant usableUntil;
    };

    void drop(const Dispatch::ServerInstance &instance, const ClientConnection *connection);

    PoolSettings settings_;
    std::map<Dispatch::ServerInstance, std::vector<Idle>> idle_;
};

} // namespace Proxy
