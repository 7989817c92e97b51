#include "serviceversions.h"

namespace Dispatch {

void ServiceVersions::serversChanged(const std::vector<ListedServer> &servers, Base::Instant now)
{
    std::map<Base::ServiceId, std::set<Base::SoftwareVersion>> listed;
    servers_.clear();
    for (const ListedServer &server : servers) {
        listed[server.server.service].insert(server.version);
        servers_[server.server.id] = {server.startedAt, server.version};
    }
    std::erase_if(services_, [&](const auto &entry) { return !listed.contains(entry.first); });
    for (auto &[service, versions] : listed) {
        recordHistory(service, versions);
        const auto known = services_.find(service);
        if (known == services_.end() || known->second.versions != versions) {
            services_[service] = {std::move(versions), now};
        }
    }
}

void ServiceVersions::recordHistory(const Base::ServiceId &service,
                                    const std::set<Base::SoftwareVersion> &versions)
{
    History &history = histories_.emplace(service, History{*versions.begin()}).first->second;
    history.hasOther
        = history.hasOther || versions.size() > 1 || *versions.begin() != history.first;
}

/// Versions may have come and gone while no list was confirmed.
void ServiceVersions::listConfirmed(Base::Instant asOf)
{
    if (confirmedAt_ && asOf - *confirmedAt_ > settings_.maxUnconfirmed) {
        isAliveSinceFleetStart_ = false;
        for (auto &[service, entry] : services_) {
            entry.changedAt = std::max(entry.changedAt, asOf);
        }
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(asOf), asOf);
}

/// The time at which this daemon learnt of a change counts, as the change itself was earlier.
std::optional<Base::SoftwareVersion> ServiceVersions::soleVersion(const Base::ServiceId &service,
                                                                  Base::Duration period,
                                                                  Base::Instant now) const
{
    const auto entry = services_.find(service);
    if (entry == services_.end() || entry->second.versions.size() != 1 || !confirmedAt_
        || now - *confirmedAt_ > settings_.maxUnconfirmed) {
        return std::nullopt;
    }
    const Base::Duration confirmed = *confirmedAt_ - entry->second.changedAt;
    const bool isSole = confirmed >= period
                        || (confirmed >= Base::Duration::zero() && isSoleSinceFleetStart(service));
    return isSole ? std::optional(*entry->second.versions.begin()) : std::nullopt;
}

bool ServiceVersions::isSoleSinceFleetStart(const Base::ServiceId &service) const
{
    return isAliveSinceFleetStart_ && !histories_.at(service).hasOther;
}

/// A list from before the restart of a server names the old version for the new process.
bool ServiceVersions::isUncertain(const StreamRecord &record, UnixMs now) const
{
    const auto listed = servers_.find(record.server.id);
    if (listed == servers_.end() || listed->second.version == record.version) {
        return false;
    }
    const auto toMs = [](Base::Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    const std::int64_t beganBefore = now.value() - toMs(record.age) + toMs(settings_.clockMargin);
    return listed->second.startedAt == 0
           || beganBefore >= static_cast<std::int64_t>(listed->second.startedAt);
}

} // namespace Dispatch
