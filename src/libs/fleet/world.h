#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>
#include <string>

/// The fleet's world: VMs, availability zones, links, and the daemons on them.
namespace Fleet {

/// A VM as the platform lists it. The list lags behind.
enum class VmState {
    Live,
    Leaving
};

struct Vm
{
    Base::VmId id;
    Base::ZoneId zone;
    VmState state = VmState::Live;

    bool operator==(const Vm &) const = default;
};

struct AvailabilityZone
{
    Base::ZoneId id;

    bool operator==(const AvailabilityZone &) const = default;
};

/// Connection between two zones.
struct Link
{
    Base::ZoneId from;
    Base::ZoneId to;
    Base::Duration oneWayDelay{};

    bool operator==(const Link &) const = default;
};

/// Where a daemon listens for its peers; an IP number and a TCP port.
struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

enum class DaemonState {
    Alive,
    /// Did not answer heartbeats; it may be dead, paused or cut off.
    Suspect,
    /// Shuts down or its VM is leaving; gets no new work.
    Leaving,
    /// Its VM is no longer listed or runs a newer incarnation.
    Gone
};

/// One incarnation of a daemon.
struct Daemon
{
    Base::IncarnationId incarnation;
    Base::VmId vm;
    Base::ZoneId zone;
    PeerAddress address;
    DaemonState state = DaemonState::Alive;

    bool operator==(const Daemon &) const = default;
};

} // namespace Fleet
