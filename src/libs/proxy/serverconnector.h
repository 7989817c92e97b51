#pragma once

#include "clientconnection.h"

#include <base/random.h>
#include <dispatch/serverpaths.h>
#include <telemetry/log.h>
#include <telemetry/metrics.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Proxy {

/// Another daemon that connects to servers for this one, see RequestRelay.
struct RelayAddress
{
    Base::VmId vm;
    asio::ip::tcp::endpoint endpoint;
    Base::ZoneId zone;
};

struct ServerConnectorSettings
{
    Base::ZoneId zone;
    /// Address from which other daemons are asked, as they serve listed addresses only; if unset,
    /// the system chooses one.
    std::optional<asio::ip::address> relaySource;
    /// Receive buffer of a connection to a server; unset means that the system chooses.
    std::optional<int> receiveBytes;
    /// Time of a direct attempt after which another daemon is tried beside it. A reachable server
    /// accepts within one round trip.
    Base::Duration headStart = std::chrono::milliseconds(100);
    /// Time for which a daemon that could not connect for this one is not asked again.
    Base::Duration relayPause = std::chrono::seconds(1);
    /// Time for which a daemon that stops is not asked again.
    Base::Duration stopPause = std::chrono::seconds(10);
    /// Daemons that are tried for one connection.
    std::size_t maxRelays = 3;
};

/// One connection that is being established; ends with its callback or with cancel().
class ConnectAttempt
{
public:
    virtual ~ConnectAttempt() = default;
    virtual void cancel() = 0;
};

/// Connects to backend servers, directly or through another daemon if the direct path is at fault.
class ServerConnector
{
public:
    /// Receives the connection, or null and the problem.
    using Done = std::function<void(std::shared_ptr<ClientConnection>, const std::string &problem)>;

    struct Target
    {
        Dispatch::ServerInstance instance;
        asio::ip::tcp::endpoint address;
    };

    ServerConnector(asio::io_context &context,
                    ServerConnectorSettings settings,
                    Telemetry::Log &log,
                    Telemetry::Metrics &metrics,
                    std::uint64_t seed);

    /// Calls back once and never at once, unless the attempt is cancelled.
    std::shared_ptr<ConnectAttempt> connect(const Target &target,
                                            Base::Duration timeout,
                                            Done done);
    /// Tries the direct path to \a target; the connection, if there is one, goes to \a done.
    void probe(const Target &target,
               Base::Duration timeout,
               const std::function<void(std::shared_ptr<ClientConnection>)> &done);

    /// Sets the other daemons.
    void setRelays(std::vector<RelayAddress> relays) { relays_ = std::move(relays); }
    /// The daemon accepts no more connections for others and is about to end.
    void relayStops(const Base::VmId &vm);
    /// Whether the daemon is not known to stop.
    bool isRelayUsable(const Base::VmId &vm) const;

    Dispatch::ServerPaths &paths() { return paths_; }
    const Dispatch::ServerPaths &paths() const { return paths_; }
    void onPathRestored(std::function<void()> callback) { onPathRestored_ = std::move(callback); }
    void onCutOff(std::function<void()> callback) { onCutOff_ = std::move(callback); }

private:
    class Attempt;

    /// A daemon of the own availability zone first, then of zones that were not tried.
    const RelayAddress *selectRelay(const std::vector<RelayAddress> &tried);
    void recordDirect(const Dispatch::ServerInstance &instance);
    /// The last one of \a tried has reached the server, the others had not.
    void recordRelayed(const Dispatch::ServerInstance &instance,
                       const std::vector<RelayAddress> &tried);
    void log(const char *message, const std::string &peer, std::vector<Telemetry::LogDetail> more);

    asio::io_context &context_;
    ServerConnectorSettings settings_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    Base::Random random_;
    Dispatch::ServerPaths paths_;
    std::vector<RelayAddress> relays_;
    /// Daemons that could not connect for this one.
    std::map<Base::VmId, Base::Instant> unusableUntil_;
    /// Daemons that have announced their stop.
    std::map<Base::VmId, Base::Instant> stoppingUntil_;
    std::function<void()> onPathRestored_ = [] {};
    std::function<void()> onCutOff_ = [] {};
};

} // namespace Proxy
