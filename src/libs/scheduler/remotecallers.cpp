#include "remotecallers.h"

namespace Scheduler {

namespace {

/// Lowest local id of a forwarded request; requests that arrived at this daemon have lower ids.
constexpr std::uint64_t firstRemoteId = 1ULL << 62;

} // namespace

std::optional<Base::RequestId> RemoteCallers::add(const RemoteCaller &caller)
{
    const auto [entry, isNew] = ids_.emplace(caller, Base::RequestId(firstRemoteId + lastId_));
    if (!isNew) {
        return std::nullopt;
    }
    ++lastId_;
    callers_.emplace(entry->second, caller);
    return entry->second;
}

std::optional<RemoteCaller> RemoteCallers::find(Base::RequestId local) const
{
    const auto entry = callers_.find(local);
    if (entry == callers_.end()) {
        return std::nullopt;
    }
    return entry->second;
}

std::optional<Base::RequestId> RemoteCallers::localId(const RemoteCaller &caller) const
{
    const auto entry = ids_.find(caller);
    if (entry == ids_.end()) {
        return std::nullopt;
    }
    return entry->second;
}

void RemoteCallers::remove(Base::RequestId local)
{
    const auto entry = callers_.find(local);
    if (entry != callers_.end()) {
        ids_.erase(entry->second);
        callers_.erase(entry);
    }
}

std::vector<Base::RequestId> RemoteCallers::requestsOf(const Base::IncarnationId &daemon) const
{
    std::vector<Base::RequestId> requests;
    for (auto entry = ids_.lower_bound(RemoteCaller{daemon, Base::RequestId()});
         entry != ids_.end() && entry->first.daemon == daemon;
         ++entry) {
        requests.push_back(entry->second);
    }
    return requests;
}

bool RemoteCallers::isRemote(Base::RequestId id)
{
    return id.value() >= firstRemoteId;
}

} // namespace Scheduler
