#pragma once

#include "topology.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace Fleet {

/// Orders the reports about a daemon; SWIM calls it incarnation. Incremented only by the daemon
/// itself, when it refutes a suspicion or begins to leave. A report with a higher number is newer;
/// at equal numbers a suspicion takes precedence.
using HeartbeatSequence = Base::StrongNumber<struct HeartbeatSequenceTag, std::uint64_t>;

/// Versions known to the sender; a receiver with older versions reads the store.
struct KnownVersions
{
    Base::ConfigVersion config;
    /// Version of the assignment object in the store.
    std::uint64_t assignment = 0;
    /// Version of the sender's own lease object in the store; 0 if it has none yet.
    std::uint64_t lease = 0;

    bool operator==(const KnownVersions &) const = default;
};

/// The sender's view of another daemon.
struct DaemonDigest
{
    Daemon daemon;
    HeartbeatSequence sequence;

    bool operator==(const DaemonDigest &) const = default;
};

struct Heartbeat
{
    /// The sender; its state is Alive or Leaving.
    Daemon from;
    HeartbeatSequence sequence;
    KnownVersions versions;
    std::vector<DaemonDigest> digests;

    bool operator==(const Heartbeat &) const = default;
};

/// Response to a heartbeat; contains the same information about its sender as a heartbeat.
struct HeartbeatAck
{
    Daemon from;
    HeartbeatSequence sequence;
    /// Sequence number of the acknowledged heartbeat.
    HeartbeatSequence answers;
    KnownVersions versions;
    std::vector<DaemonDigest> digests;

    bool operator==(const HeartbeatAck &) const = default;
};

using FleetMessage = std::variant<Heartbeat, HeartbeatAck>;

/// Upper bound of the size on the wire: Thrift compact encoding, frame, and TCP/IP headers.
std::size_t wireSize(const FleetMessage &message);

} // namespace Fleet
