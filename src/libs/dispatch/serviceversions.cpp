#include "serviceversions.h"

#include <utility>

namespace Dispatch {

namespace {

using VersionsByService = std::map<Base::ServiceId, std::set<Base::SoftwareVersion>>;

VersionsByService versionsByService(const std::vector<ListedServer> &servers)
{
    VersionsByService result;
    for (const ListedServer &server : servers) {
        result[server.server.service].insert(server.version);
    }
    return result;
}

} // namespace

/// Servers that crash leave the list while callers still resume their streams.
void ServiceVersions::setListed(const std::vector<ListedServer> &servers, Base::Instant now)
{
    std::unordered_map<Base::ServerId, Listed> former = std::exchange(servers_, {});
    for (const ListedServer &server : servers) {
        servers_[server.server.id] = {server.startedAt, server.version, std::nullopt};
    }
    for (auto &[id, listed] : former) {
        listed.leftAt = listed.leftAt.value_or(now);
        if (now - *listed.leftAt < settings_.retention) {
            servers_.emplace(id, std::move(listed));
        }
    }
}

void ServiceVersions::serversChanged(const std::vector<ListedServer> &servers, Base::Instant now)
{
    VersionsByService listed = versionsByService(servers);
    lastVersions_ = listed;
    setListed(servers, now);
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

/// Versions may have come and gone while no list was confirmed. The time of arrival counts, as an
/// age that waited unread is too low.
void ServiceVersions::detectGap(Base::Instant now)
{
    if (!reportedAt_ || now - *reportedAt_ <= settings_.maxUnconfirmed) {
        return;
    }
    isAliveSinceFleetStart_ = false;
    continuousSince_.reset();
    backlogUntil_ = now + settings_.backlogTime;
    for (auto &[service, entry] : services_) {
        entry.changedAt = std::max(entry.changedAt, now);
    }
}

void ServiceVersions::confirm(Base::Instant asOf, ConfirmedBy by)
{
    if (!confirmedAt_ || asOf >= *confirmedAt_) {
        confirmedAt_ = asOf;
        confirmedBy_ = by;
    }
    continuousSince_ = continuousSince_.value_or(asOf);
}

void ServiceVersions::listConfirmed(Base::Instant asOf, Base::Instant now)
{
    detectGap(now);
    reportedAt_ = std::max(reportedAt_.value_or(asOf), asOf);
    if (now >= backlogUntil_) {
        confirm(asOf, ConfirmedBy::Report);
    }
}

/// The versions stay those of the regular list, which may not have the news yet or may never see
/// them; only their periods start again.
void ServiceVersions::listRead(const std::vector<ListedServer> &servers,
                               Base::Instant begunAt,
                               Base::Instant now)
{
    detectGap(now);
    VersionsByService listed = versionsByService(servers);
    for (const auto &[service, versions] : listed) {
        recordHistory(service, versions);
    }
    for (auto &[service, entry] : services_) {
        if (entry.versions != listed[service]) {
            entry.changedAt = now;
        }
    }
    lastVersions_ = std::move(listed);
    setListed(servers, now);
    reportedAt_ = std::max(reportedAt_.value_or(begunAt), begunAt);
    confirm(begunAt, ConfirmedBy::Read);
}

std::optional<ListConfirmation> ServiceVersions::confirmation(Base::Instant now) const
{
    return confirmedAt_ ? std::optional(ListConfirmation{now - *confirmedAt_, confirmedBy_})
                        : std::nullopt;
}

std::optional<Base::Duration> ServiceVersions::entryAge(Base::Instant now,
                                                        Base::Duration lifetime) const
{
    const bool isContinuous
        = continuousSince_ && confirmedAt_ && *confirmedAt_ - *continuousSince_ >= lifetime;
    return isContinuous ? std::optional(now - *confirmedAt_ + lifetime) : std::nullopt;
}

bool ServiceVersions::isInStep(Base::Instant now) const
{
    return confirmedAt_ && now - *confirmedAt_ <= settings_.maxUnconfirmed;
}

/// The time at which this daemon learnt of a change counts, as the change itself was earlier.
std::optional<Base::SoftwareVersion> ServiceVersions::soleVersion(const Base::ServiceId &service,
                                                                  Base::Duration period,
                                                                  Base::Instant now) const
{
    const auto entry = services_.find(service);
    if (entry == services_.end() || entry->second.versions.size() != 1 || !isInStep(now)) {
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

bool ServiceVersions::isOnlyVersion(const Base::ServiceId &service,
                                    const Base::SoftwareVersion &version) const
{
    const auto entry = lastVersions_.find(service);
    return entry != lastVersions_.end() && entry->second == std::set{version};
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
