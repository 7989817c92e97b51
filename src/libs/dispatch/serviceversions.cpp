#include "serviceversions.h"

namespace Dispatch {

void ServiceVersions::serversChanged(const std::vector<ListedServer> &servers, Base::Instant now)
{
    std::map<Base::ServiceId, std::set<Base::SoftwareVersion>> listed;
    for (const ListedServer &server : servers) {
        listed[server.server.service].insert(server.version);
    }
    std::erase_if(services_, [&](const auto &entry) { return !listed.contains(entry.first); });
    for (auto &[service, versions] : listed) {
        const auto known = services_.find(service);
        if (known == services_.end() || known->second.versions != versions) {
            services_[service] = {std::move(versions), now};
        }
    }
}

std::optional<Base::SoftwareVersion> ServiceVersions::soleVersion(const Base::ServiceId &service,
                                                                  Base::Duration period,
                                                                  Base::Instant now) const
{
    const auto entry = services_.find(service);
    const bool isSole = entry != services_.end() && entry->second.versions.size() == 1
                        && now - entry->second.changedAt >= period;
    return isSole ? std::optional(*entry->second.versions.begin()) : std::nullopt;
}

} // namespace Dispatch
