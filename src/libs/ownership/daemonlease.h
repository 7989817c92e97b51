#pragma once

#include <base/error.h>
#include <fleet/world.h>
#include <platform/store.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ownership {

/// Object of one daemon incarnation. Renewed by its holder; fenced by a successor.
struct DaemonLease
{
    Base::IncarnationId incarnation;
    Base::VmId vm;
    Base::ZoneId zone;
    Fleet::PeerAddress address;
    /// Two daemons in other zones, or none. Changed only by the holder.
    std::vector<Base::IncarnationId> witnesses;
    /// Without a renewal for this long, a takeover may start.
    Base::Duration length{};
    Base::ConfigVersion configVersion;
    /// Counts renewals, so that every renewal changes the object.
    std::uint64_t renewals = 0;
    bool isLeaving = false;
    /// Set by whoever takes over: the holder can neither renew nor change its witnesses any more.
    std::optional<Base::IncarnationId> fencedBy;

    bool operator==(const DaemonLease &) const = default;
};

Platform::ObjectKey leaseKey(const Base::IncarnationId &incarnation);
std::string encode(const DaemonLease &lease);
Base::Result<DaemonLease> decodeLease(std::string_view body);

} // namespace Ownership
