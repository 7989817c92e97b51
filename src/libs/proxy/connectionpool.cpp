#include "connectionpool.h"

#include <algorithm>

namespace Proxy {

ConnectionPool::ConnectionPool(PoolSettings settings)
    : settings_(settings)
{}

std::shared_ptr<ClientConnection> ConnectionPool::take(const Dispatch::ServerInstance &instance,
                                                       Base::Instant now)
{
    const auto entry = idle_.find(instance);
    if (entry == idle_.end()) {
        return nullptr;
    }
    std::vector<Idle> &connections = entry->second;
    while (!connections.empty()) {
        const Idle idle = std::move(connections.back());
        connections.pop_back();
        if (now < idle.usableUntil) {
            return idle.connection;
        }
        idle.connection->close();
    }
    return nullptr;
}

void ConnectionPool::put(const Dispatch::ServerInstance &instance,
                         const std::shared_ptr<ClientConnection> &connection,
                         Base::Instant now)
{
    std::vector<Idle> &connections = idle_[instance];
    const Base::Duration serverTimeout
        = connection->keepAliveTimeout().value_or(settings_.maxIdleTime + settings_.closeMargin);
    const Base::Duration usable
        = std::min(settings_.maxIdleTime, serverTimeout - settings_.closeMargin);
    const bool isKept = connection->isReusable() && usable > Base::Duration::zero()
                        && connections.size() < settings_.maxIdlePerServer;
    if (!isKept) {
        connection->close();
        return;
    }
    connections.push_back({connection, now + usable});
    connection->watchIdle([this, instance, raw = connection.get()] {
        drop(instance, raw);
        onIdleEnded_(instance);
    });
}

void ConnectionPool::drop(const Dispatch::ServerInstance &instance,
                          const ClientConnection *connection)
{
    if (const auto entry = idle_.find(instance); entry != idle_.end()) {
        std::erase_if(entry->second,
                      [&](const Idle &idle) { return idle.connection.get() == connection; });
    }
}

void ConnectionPool::closeAll(const Dispatch::ServerInstance &instance)
{
    if (const auto entry = idle_.find(instance); entry != idle_.end()) {
        for (const Idle &idle : entry->second) {
            idle.connection->close();
        }
        idle_.erase(entry);
    }
}

void ConnectionPool::closeIf(const std::function<bool(const ClientConnection &)> &isUnwanted)
{
    for (auto &[instance, connections] : idle_) {
        std::erase_if(connections, [&](const Idle &idle) {
            const bool isErased = isUnwanted(*idle.connection);
            if (isErased) {
                idle.connection->close();
            }
            return isErased;
        });
    }
}

void ConnectionPool::retain(const std::function<bool(const Dispatch::ServerInstance &)> &isKept)
{
    std::vector<Dispatch::ServerInstance> removed;
    for (const auto &[instance, connections] : idle_) {
        if (!isKept(instance)) {
            removed.push_back(instance);
        }
    }
    for (const Dispatch::ServerInstance &instance : removed) {
        closeAll(instance);
    }
}

} // namespace Proxy
