#include "coldservers.h"

#include <algorithm>
#include <set>

namespace Dispatch {

void ColdServers::configure(const Base::ServiceId &service,
                            Base::Duration period,
                            Base::RequestRate rate)
{
    services_[service] = {period, rate};
}

/// A first list that states no time left shows servers that started before this process. What this
/// process sees later has started since. A time that is missing or unusable counts as the period.
ColdServers::Server ColdServers::updated(const ListedServer &listed, Base::Instant now) const
{
    const auto known = servers_.find(listed.instance());
    const bool isNew = known == servers_.end();
    Server server = isNew ? Server{} : known->second;
    const bool wasStated = server.isStated;
    server.service = listed.server.service;
    server.zone = listed.server.zone;
    server.isStated = listed.coldLeft.has_value();
    if (listed.coldLeft > Base::Duration::zero()) {
        server.statedUntil = std::max(server.statedUntil, now + *listed.coldLeft);
    }
    const bool isFirstSeen = isNew && (hasList_ || listed.coldLeft != Base::Duration::zero());
    const bool hasBecomeUnknown = !isNew && wasStated && !server.isStated;
    if (isFirstSeen || hasBecomeUnknown) {
        server.assumedSince = now;
    }
    return server;
}

std::vector<ServerInstance> ColdServers::serversChanged(const std::vector<ListedServer> &servers,
                                                        Base::Instant now)
{
    std::map<ServerInstance, Server> next;
    std::set<Base::ZoneId> zones;
    std::vector<ServerInstance> becameCold;
    for (const ListedServer &listed : servers) {
        const ServerInstance instance = listed.instance();
        const bool wasCold = limitOf(instance, now).has_value();
        const Server server = updated(listed, now);
        if (!wasCold && limitOf(server, now)) {
            becameCold.push_back(instance);
        }
        zones.insert(server.zone);
        next.insert_or_assign(instance, server);
    }
    servers_ = std::move(next);
    std::erase_if(reopenedAt_, [&](const auto &zone) { return !zones.contains(zone.first); });
    hasList_ = true;
    return becameCold;
}

void ColdServers::zoneReopened(const Base::ZoneId &zone, Base::Instant now)
{
    reopenedAt_[zone] = now;
}

std::optional<ColdLimit> ColdServers::limitOf(const Server &server, Base::Instant now) const
{
    const auto service = services_.find(server.service);
    if (service == services_.end() || service->second.rate <= Base::RequestRate(0)) {
        return std::nullopt;
    }
    const Base::Duration period = service->second.period;
    Base::Instant until = server.statedUntil;
    if (server.assumedSince) {
        until = std::max(until, *server.assumedSince + period);
    }
    if (const auto zone = reopenedAt_.find(server.zone); zone != reopenedAt_.end()) {
        until = std::max(until, zone->second + period);
    }
    return now < until ? std::optional(ColdLimit{service->second.rate, until}) : std::nullopt;
}

std::optional<ColdLimit> ColdServers::limitOf(const ServerInstance &instance,
                                              Base::Instant now) const
{
    const auto server = servers_.find(instance);
    return server == servers_.end() ? std::nullopt : limitOf(server->second, now);
}

std::size_t ColdServers::count(Base::Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [&](const auto &server) {
            return limitOf(server.second, now).has_value();
        }));
}

} // namespace Dispatch
