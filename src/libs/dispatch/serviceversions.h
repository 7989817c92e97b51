#pragma once

#include "requestplacer.h"
#include "streamversions.h"

#include <map>
#include <set>

namespace Dispatch {

/// Time in milliseconds since the Unix epoch, as in the start times of servers.
using UnixMs = Base::StrongNumber<struct UnixMsTag, std::int64_t>;

/// The software versions of the listed servers of each service, leaving ones included.
class ServiceVersions
{
public:
    struct Settings
    {
        /// The list is read every 0.7 s, and by each daemon at most 1.3 s after that. A list that
        /// was not confirmed for longer says nothing about the versions in service.
        Base::Duration maxUnconfirmed = std::chrono::seconds(5);
        /// Difference between the clocks of a server and of a daemon.
        Base::Duration clockMargin = std::chrono::seconds(1);
    };

    explicit ServiceVersions(Settings settings)
        : settings_(settings)
    {}

    /// The whole system starts for the first time, so that no stream is older than this process.
    void setFleetStart() { isAliveSinceFleetStart_ = true; }
    void serversChanged(const std::vector<ListedServer> &servers, Base::Instant now);
    /// The last list was the current one at the given time.
    void listConfirmed(Base::Instant asOf);

    /// The version of all servers of the service, if confirmed lists have named no other one for
    /// the given time, or since the fleet's first start.
    std::optional<Base::SoftwareVersion> soleVersion(const Base::ServiceId &service,
                                                     Base::Duration period,
                                                     Base::Instant now) const;

    /// Whether the server of the record is now listed with another version, and may have been
    /// restarted with it before the stream began.
    bool isUncertain(const StreamRecord &record, UnixMs now) const;

private:
    struct Entry
    {
        std::set<Base::SoftwareVersion> versions;
        Base::Instant changedAt;
    };

    struct Listed
    {
        std::uint64_t startedAt = 0;
        Base::SoftwareVersion version;
    };

    /// Versions of a service since the start of this process.
    struct History
    {
        Base::SoftwareVersion first;
        bool hasOther = false;
    };

    void recordHistory(const Base::ServiceId &service,
                       const std::set<Base::SoftwareVersion> &versions);
    bool isSoleSinceFleetStart(const Base::ServiceId &service) const;

    Settings settings_;
    std::map<Base::ServiceId, Entry> services_;
    std::map<Base::ServiceId, History> histories_;
    std::unordered_map<Base::ServerId, Listed> servers_;
    std::optional<Base::Instant> confirmedAt_;
    bool isAliveSinceFleetStart_ = false;
};

} // namespace Dispatch
