#pragma once

#include "messages.h"

#include <variant>

namespace Fleet {

/// A daemon was found to be alive or leaving for the first time.
struct DaemonJoined
{
    Daemon daemon;

    bool operator==(const DaemonJoined &) const = default;
};

/// A daemon stopped responding.
struct DaemonSuspected
{
    Daemon daemon;

    bool operator==(const DaemonSuspected &) const = default;
};

/// A suspected daemon is responsive again.
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
    /// A newer incarnation responds on the same VM.
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

/// Requests that a message be sent to a daemon. A failure to send it need not be reported.
struct SendToDaemon
{
    Base::IncarnationId to;
    PeerAddress address;
    FleetMessage message;
};

/// A peer reported other versions than in its previous message.
struct VersionsReported
{
    Base::IncarnationId from;
    KnownVersions versions;
};

using FleetAction = std::variant<SendToDaemon, MembershipEvent, VersionsReported>;

} // namespace Fleet
