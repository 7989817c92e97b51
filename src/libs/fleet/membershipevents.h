#pragma once

#include "messages.h"

#include <variant>

namespace Fleet {

/// A daemon was heard of for the first time.
struct DaemonJoined
{
    Daemon daemon;

    bool operator==(const DaemonJoined &) const = default;
};

/// A daemon stopped answering.
struct DaemonSuspected
{
    Daemon daemon;

    bool operator==(const DaemonSuspected &) const = default;
};

/// A suspected daemon was heard from again.
struct DaemonRecovered
{
    Daemon daemon;

    bool operator==(const DaemonRecovered &) const = default;
};

/// The daemon shuts down, or the platform lists its VM as leaving.
struct DaemonLeaving
{
    Daemon daemon;

    bool operator==(const DaemonLeaving &) const = default;
};

enum class GoneReason {
    /// The platform no longer lists the VM.
    VmUnlisted,
    /// A newer incarnation answers on the same VM.
    Replaced
};

struct DaemonGone
{
    Daemon daemon;
    GoneReason reason = GoneReason::VmUnlisted;

    bool operator==(const DaemonGone &) const = default;
};

using MembershipEvent
    = std::variant<DaemonJoined, DaemonSuspected, DaemonRecovered, DaemonLeaving, DaemonGone>;

/// Send a message to a daemon. No answer is needed for a heartbeat that fails to be sent.
struct SendToDaemon
{
    Base::IncarnationId to;
    PeerAddress address;
    FleetMessage message;
};

/// A daemon knows newer versions than any seen before from a peer, or a new lease version.
struct VersionsSeen
{
    Base::IncarnationId from;
    KnownVersions versions;
};

using FleetAction = std::variant<SendToDaemon, MembershipEvent, VersionsSeen>;

} // namespace Fleet
