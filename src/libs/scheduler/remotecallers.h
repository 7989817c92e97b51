#pragma once

#include <base/types.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Scheduler {

/// The daemon where a forwarded request arrived, and its id there.
struct RemoteCaller
{
    Base::IncarnationId daemon;
    Base::RequestId request;

    auto operator<=>(const RemoteCaller &) const = default;
};

/// Assigns local ids to forwarded requests and finds their origin for the answers.
class RemoteCallers
{
public:
    /// Returns the new local id, or nothing if the request is already in progress.
    std::optional<Base::RequestId> add(const RemoteCaller &caller);
    std::optional<RemoteCaller> find(Base::RequestId local) const;
    /// The local id of a request in progress, such as for a cancellation.
    std::optional<Base::RequestId> localId(const RemoteCaller &caller) const;
    void remove(Base::RequestId local);
    /// Local ids of the requests in progress that a daemon forwarded.
    std::vector<Base::RequestId> requestsOf(const Base::IncarnationId &daemon) const;

    static bool isRemote(Base::RequestId id);

private:
    std::uint64_t lastId_ = 0;
    std::unordered_map<Base::RequestId, RemoteCaller> callers_;
    std::map<RemoteCaller, Base::RequestId> ids_;
};

} // namespace Scheduler
