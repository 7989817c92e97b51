#include "streamversions.h"

namespace Dispatch {

void StreamVersions::add(const std::string &attempt,
                         const Base::SoftwareVersion &version,
                         Base::Instant now)
{
    if (!versions_.emplace(attempt, version).second) {
        return;
    }
    entries_.push_back({attempt, now});
    while (entries_.size() > settings_.maxStreams
           || now - entries_.front().addedAt >= settings_.retention) {
        versions_.erase(entries_.front().attempt);
        entries_.pop_front();
    }
}

std::optional<Base::SoftwareVersion> StreamVersions::find(const std::string &attempt) const
{
    const auto entry = versions_.find(attempt);
    return entry == versions_.end() ? std::nullopt : std::optional(entry->second);
}

} // namespace Dispatch
