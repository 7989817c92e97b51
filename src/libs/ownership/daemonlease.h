#pragma once

#include <base/error.h>
#include <fleet/topology.h>
#include <platform/store.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ownership {

/// Lease of one daemon incarnation. Renewed by its holder; fenced by a successor.
struct DaemonLease
{
    Base::IncarnationId incarnation;
    Base::VmId vm;
    Base::ZoneId zone;
    Fleet::PeerAddress address;
    /// Two daemons, in other zones if the fleet has several, or none. Changed only by the holder.
    std::vector<Base::IncarnationId> witnesses;
    /// Time without a renewal after which a takeover may start.
    Base::Duration length{};
    Base::ConfigVersion configVersion;
    /// Number of renewals; makes every renewal change the object.
    std::uint64_t renewals = 0;
    bool isLeaving = false;
    /// Set by the daemon that takes over: the holder can no longer renew the lease or change its
    /// witnesses.
    std::optional<Base::IncarnationId> fencedBy;

    bool operator==(const DaemonLease &) const = default;
};

Platform::ObjectKey leaseKey(const Base::IncarnationId &incarnation);
std::string encode(const DaemonLease &lease);
Base::Result<DaemonLease> decodeLease(std::string_view body);

} // namespace Ownership
