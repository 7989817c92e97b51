#pragma once

#include "requestplacer.h"

#include <base/instant.h>

#include <functional>
#include <map>
#include <optional>

namespace Dispatch {

/// How a daemon connects to a server.
enum class ServerPath {
    Direct,
    /// Through another daemon.
    Relay
};

struct ServerPathSettings
{
    /// Time without a byte from any server after which open connections are not trusted. Longer
    /// than most responses take to begin.
    Base::Duration silenceTime = std::chrono::milliseconds(300);
    /// Interval of the direct attempts at servers that are reached through others.
    Base::Duration recheckInterval = std::chrono::seconds(1);
    /// Time for which a server that neither this daemon nor another one reaches is not tried
    /// through others.
    Base::Duration outageTime = std::chrono::seconds(1);
    /// Servers that are reached only through others, at which all are.
    std::size_t cutOffServers = 2;
};

/// Decides whether this daemon connects to backend servers itself or through another daemon. A
/// server that another daemon reaches and this one does not is sound: the path is at fault.
class ServerPaths
{
public:
    explicit ServerPaths(ServerPathSettings settings = {})
        : settings_(settings)
    {}

    ServerPath choose(const ServerInstance &instance) const;
    /// Whether another daemon is worth a try after a direct attempt has failed.
    bool mayRelay(const ServerInstance &instance, Base::Instant now) const;
    /// Whether connections that were open before are to be avoided.
    bool isSilent(Base::Instant now) const;
    bool isCutOff() const { return isCutOff_; }
    /// Number of servers that are reached through others only.
    std::size_t relayedServers() const { return relayed_.size(); }

    /// A request was sent to a server directly.
    void sent(Base::Instant now);
    /// Bytes of a server have arrived on a direct connection.
    void received();
    /// Returns whether the path to the server, or to all, is usable again.
    bool directSucceeded(const ServerInstance &instance);
    /// Another daemon reached the server after this one had not. Returns whether this is news.
    bool relaySucceeded(const ServerInstance &instance, Base::Instant now);
    /// Another daemon that reaches servers does not reach this one either.
    void relayFailed(const ServerInstance &instance, Base::Instant now);
    /// The server to which a direct attempt is due; it counts as made.
    std::optional<ServerInstance> takeProbe(Base::Instant now);
    /// Forgets servers that are not listed.
    void retain(const std::function<bool(const ServerInstance &)> &isListed);

private:
    ServerPathSettings settings_;
    /// Servers that are reached through others, with the time of the next direct attempt.
    std::map<ServerInstance, Base::Instant> relayed_;
    /// Servers that no daemon reaches, with the time until which they are not tried through others.
    std::map<ServerInstance, Base::Instant> unreachable_;
    /// Time of the first request since the last byte from any server.
    std::optional<Base::Instant> silentSince_;
    bool isCutOff_ = false;
    Base::Instant nextProbeAt_;
};

} // namespace Dispatch
