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

/// Gives forwarded requests ids of this daemon and finds their origin for the answers.
class RemoteCallers
{
public:
    /// The request's id here; nothing if it is under way already.
    std::optional<Base::RequestId> add(const RemoteCaller &caller);
    std::optional<RemoteCaller> find(Base::RequestId local) const;
    /// The id of a request under way, such as for a cancellation.
    std::optional<Base::RequestId> localId(const RemoteCaller &caller) const;
    void remove(Base::RequestId local);
    /// Requests of a daemon that is gone.
    std::vector<Base::RequestId> requestsOf(const Base::IncarnationId &daemon) const;

    static bool isRemote(Base::RequestId id);

private:
    std::uint64_t lastId_ = 0;
    std::unordered_map<Base::RequestId, RemoteCaller> callers_;
    std::map<RemoteCaller, Base::RequestId> ids_;
};

} // namespace Scheduler
