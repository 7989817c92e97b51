#pragma once

#include "serverconnector.h"

#include <dispatch/requestquarantine.h>

#include <functional>
#include <map>
#include <vector>

namespace Proxy {

/// Tells servers that crashed from connections that merely ended: a server that accepts a new
/// connection, from this daemon or another one, has not crashed.
class CrashVerifier
{
public:
    using Lookup
        = std::function<std::optional<asio::ip::tcp::endpoint>(const Dispatch::ServerInstance &)>;

    struct Callbacks
    {
        /// Returns the address of a listed server.
        Lookup lookup;
        /// The server has crashed.
        std::function<void(const Dispatch::CrashReport &)> crashed;
        /// The server has not crashed; receives the connection to it.
        std::function<void(const Dispatch::ServerInstance &,
                           const std::shared_ptr<ClientConnection> &)>
            isAlive;
    };

    CrashVerifier(ServerConnector &connector, Base::Duration timeout, Callbacks callbacks);

    /// The connection of a request ended before the response was complete.
    void disconnected(const Dispatch::CrashReport &report);

private:
    struct Suspicion
    {
        Dispatch::CrashReport report;
        Base::Instant disconnectedAt;
    };

    void onVerified(const Dispatch::ServerInstance &instance,
                    const std::shared_ptr<ClientConnection> &connection);

    ServerConnector &connector_;
    Base::Duration timeout_;
    Callbacks callbacks_;
    /// By server, until the attempt to connect to it ends.
    std::map<Dispatch::ServerInstance, std::vector<Suspicion>> suspicions_;
};

} // namespace Proxy
