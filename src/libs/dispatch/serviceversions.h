#pragma once

#include "requestplacer.h"

#include <map>
#include <set>

namespace Dispatch {

/// The software versions of the listed servers of each service, leaving ones included.
class ServiceVersions
{
public:
    void serversChanged(const std::vector<ListedServer> &servers, Base::Instant now);

    /// The version of all servers of the service, if there has been no other one for the given
    /// time.
    std::optional<Base::SoftwareVersion> soleVersion(const Base::ServiceId &service,
                                                     Base::Duration period,
                                                     Base::Instant now) const;

private:
    struct Entry
    {
        std::set<Base::SoftwareVersion> versions;
        Base::Instant changedAt;
    };

    std::map<Base::ServiceId, Entry> services_;
};

} // namespace Dispatch
