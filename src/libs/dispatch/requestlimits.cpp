#include "requestlimits.h"

#include <algorithm>

namespace Dispatch {

bool RequestLimits::apply(const LimitStatement &statement, Base::Instant now)
{
    if (!statement.limit && !statements_.find(statement.instance)) {
        return false;
    }
    return statements_.apply(statement, now);
}

std::vector<Base::ServerId> RequestLimits::retain(const std::set<ServerInstance> &instances)
{
    std::set<Base::ServerId> removed;
    statements_.eraseIf([&](const LimitStatement &statement) {
        const bool isRemoved = !instances.contains(statement.instance);
        if (isRemoved) {
            removed.insert(statement.instance.id);
        }
        return isRemoved;
    });
    for (const LimitStatement &statement : statements_.all()) {
        removed.erase(statement.instance.id);
    }
    return {removed.begin(), removed.end()};
}

std::size_t RequestLimits::size() const
{
    const std::vector<LimitStatement> all = statements_.all();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const LimitStatement &statement) {
            return statement.limit.has_value();
        }));
}

} // namespace Dispatch
