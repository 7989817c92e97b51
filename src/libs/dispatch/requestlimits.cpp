#include "requestlimits.h"

#include <algorithm>

namespace Dispatch {

bool RequestLimits::apply(const LimitStatement &statement, Base::Instant now)
{
    const auto known = entries_.find(statement.instance);
    if (known == entries_.end()) {
        if (statement.limit) {
            entries_.emplace(statement.instance, Entry{statement, now});
        }
        return statement.limit.has_value();
    }
    Entry &entry = known->second;
    if (statement.validAt <= entry.statement.validAt) {
        return false;
    }
    const bool isChanged = statement.limit != entry.statement.limit;
    entry.statement = statement;
    if (isChanged) {
        entry.changedAt = now;
    }
    return isChanged;
}

std::vector<Base::ServerId> RequestLimits::retain(const std::set<ServerInstance> &instances)
{
    std::set<Base::ServerId> removed;
    std::erase_if(entries_, [&](const auto &entry) {
        const bool isRemoved = !instances.contains(entry.first);
        if (isRemoved) {
            removed.insert(entry.first.id);
        }
        return isRemoved;
    });
    for (const auto &[instance, entry] : entries_) {
        removed.erase(instance.id);
    }
    return {removed.begin(), removed.end()};
}

const LimitStatement *RequestLimits::find(const ServerInstance &instance) const
{
    const auto entry = entries_.find(instance);
    return entry == entries_.end() ? nullptr : &entry->second.statement;
}

std::vector<LimitStatement> RequestLimits::changedSince(Base::Instant time) const
{
    std::vector<LimitStatement> changed;
    for (const auto &[instance, entry] : entries_) {
        if (entry.changedAt >= time) {
            changed.push_back(entry.statement);
        }
    }
    return changed;
}

std::size_t RequestLimits::size() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](const auto &entry) {
            return entry.second.statement.limit.has_value();
        }));
}

} // namespace Dispatch
