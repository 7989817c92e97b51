#pragma once

#include "requestplacer.h"

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <optional>
#include <vector>

namespace Dispatch {

/// What a cold server takes from all daemons together.
struct ColdLimit
{
    Base::RequestRate rate;
    Base::Instant until;

    bool operator==(const ColdLimit &) const = default;
};

/// The backend servers that have just started. A server is cold for the time that its list entry
/// states, and for its service's period after it was first seen and after its zone was reopened.
/// Services without a rate have no cold servers.
class ColdServers
{
public:
    /// Sets the period of the service's cold servers and their rate; a rate of 0 means none.
    void configure(const Base::ServiceId &service, Base::Duration period, Base::RequestRate rate);
    /// Sets the complete list, which was read at \a now. Returns the instances that became cold.
    std::vector<ServerInstance> serversChanged(const std::vector<ListedServer> &servers,
                                               Base::Instant now);
    void zoneReopened(const Base::ZoneId &zone, Base::Instant now);

    /// Nothing if the server is not cold or not in the list.
    std::optional<ColdLimit> limitOf(const ServerInstance &instance, Base::Instant now) const;
    /// Number of cold servers.
    std::size_t count(Base::Instant now) const;

private:
    struct Service
    {
        Base::Duration period{};
        Base::RequestRate rate;
    };

    struct Server
    {
        Base::ServiceId service;
        Base::ZoneId zone;
        /// End of the time that the list entry states.
        Base::Instant statedUntil = Base::Instant::min();
        /// Time from which the service's period counts; unset for servers that were not cold when
        /// this process started.
        std::optional<Base::Instant> assumedSince;
        bool isStated = false;
    };

    std::optional<ColdLimit> limitOf(const Server &server, Base::Instant now) const;
    Server updated(const ListedServer &listed, Base::Instant now) const;

    std::map<Base::ServiceId, Service> services_;
    std::map<ServerInstance, Server> servers_;
    std::map<Base::ZoneId, Base::Instant> reopenedAt_;
    bool hasList_ = false;
};

} // namespace Dispatch
