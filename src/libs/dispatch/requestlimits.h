#pragma once

#include "neweststatements.h"
#include "requestplacer.h"

#include <base/instant.h>
#include <base/types.h>

#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// What a backend server states about the requests that it takes from all daemons together.
struct LimitStatement
{
    ServerInstance instance;
    /// Unset if the server states no limit.
    std::optional<Base::RequestRate> limit;
    /// Time at which the statement was valid.
    Base::Instant validAt;

    const ServerInstance &subject() const { return instance; }
    bool hasSameValue(const LimitStatement &other) const { return limit == other.limit; }
    bool operator==(const LimitStatement &) const = default;
};

/// The limits that backend servers state in their responses to any daemon. The newest statement
/// of a server is valid until another one replaces it.
class RequestLimits
{
public:
    /// Returns whether the limit of the server has changed.
    bool apply(const LimitStatement &statement, Base::Instant now);
    /// Forgets all other servers. Returns the ids of those of which no instance remains.
    std::vector<Base::ServerId> retain(const std::set<ServerInstance> &instances);

    /// The newest statement of the server; null if it has never stated a limit.
    const LimitStatement *find(const ServerInstance &instance) const
    {
        return statements_.find(instance);
    }
    std::vector<LimitStatement> changedSince(Base::Instant time) const
    {
        return statements_.changedSince(time);
    }
    /// Number of servers that state a limit.
    std::size_t size() const;

private:
    NewestStatements<LimitStatement> statements_;
};

} // namespace Dispatch
