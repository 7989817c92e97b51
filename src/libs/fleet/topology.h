#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <cstdint>
#include <string>

/// The fleet's VMs, availability zones, the links between them, and daemons.
namespace Fleet {

/// State of a VM in the platform's list, which lags.
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

/// Network link between two zones.
struct Link
{
    Base::ZoneId from;
    Base::ZoneId to;
    Base::Duration oneWayDelay{};

    bool operator==(const Link &) const = default;
};

/// IP number and TCP port on which a daemon accepts connections of peers.
struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

enum class DaemonState {
    Alive,
    /// Does not respond to heartbeats; it may be dead, paused or disconnected.
    Suspect,
    /// Shuts down, or its VM is leaving; accepts no new work.
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
