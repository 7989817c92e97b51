#include "serverpaths.h"

#include <algorithm>

namespace Dispatch {

ServerPath ServerPaths::choose(const ServerInstance &instance) const
{
    return isCutOff_ || relayed_.contains(instance) ? ServerPath::Relay : ServerPath::Direct;
}

bool ServerPaths::mayRelay(const ServerInstance &instance, Base::Instant now) const
{
    const auto entry = unreachable_.find(instance);
    return entry == unreachable_.end() || now >= entry->second;
}

bool ServerPaths::isSilent(Base::Instant now) const
{
    return silentSince_ && now - *silentSince_ >= settings_.silenceTime;
}

void ServerPaths::sent(Base::Instant now)
{
    if (!silentSince_) {
        silentSince_ = now;
    }
}

void ServerPaths::received()
{
    silentSince_.reset();
}

bool ServerPaths::directSucceeded(const ServerInstance &instance)
{
    received();
    unreachable_.erase(instance);
    const bool wasCutOff = std::exchange(isCutOff_, false);
    return relayed_.erase(instance) > 0 || wasCutOff;
}

/// A daemon that still receives bytes from servers is not cut off from all of them.
bool ServerPaths::relaySucceeded(const ServerInstance &instance, Base::Instant now)
{
    unreachable_.erase(instance);
    const bool isNew = relayed_.emplace(instance, now + settings_.recheckInterval).second;
    const bool wasCutOff = isCutOff_;
    isCutOff_ = isCutOff_ || (relayed_.size() >= settings_.cutOffServers && isSilent(now));
    if (isCutOff_ && !wasCutOff) {
        nextProbeAt_ = now + settings_.recheckInterval;
    }
    return isNew || isCutOff_ != wasCutOff;
}

void ServerPaths::relayFailed(const ServerInstance &instance, Base::Instant now)
{
    unreachable_[instance] = now + settings_.outageTime;
}

/// While the daemon is cut off, one server stands for all.
std::optional<ServerInstance> ServerPaths::takeProbe(Base::Instant now)
{
    if (relayed_.empty() || (isCutOff_ && now < nextProbeAt_)) {
        return std::nullopt;
    }
    const auto next = std::min_element(
        relayed_.begin(), relayed_.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
    if (now < next->second) {
        return std::nullopt;
    }
    next->second = now + settings_.recheckInterval;
    nextProbeAt_ = now + settings_.recheckInterval;
    return next->first;
}

void ServerPaths::retain(const std::function<bool(const ServerInstance &)> &isListed)
{
    std::erase_if(relayed_, [&](const auto &entry) { return !isListed(entry.first); });
    std::erase_if(unreachable_, [&](const auto &entry) { return !isListed(entry.first); });
    isCutOff_ = isCutOff_ && !relayed_.empty();
}

} // namespace Dispatch
