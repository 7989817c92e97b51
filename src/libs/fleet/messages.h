#pragma once

#include "world.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace Fleet {

/// Raised by a daemon itself when it refutes a suspicion or begins to leave; a higher number is
/// newer knowledge about that daemon, and at the same number a suspicion is (SWIM calls it
/// incarnation).
using HeartbeatSequence = Base::StrongNumber<struct HeartbeatSequenceTag, std::uint64_t>;

/// Versions that the sender knows; a receiver that is behind reads the store.
struct KnownVersions
{
    Base::ConfigVersion config;
    /// Version of the assignment object in the store.
    std::uint64_t assignment = 0;
    /// Version of the sender's own lease object in the store; 0 if it has none yet.
    std::uint64_t lease = 0;

    bool operator==(const KnownVersions &) const = default;
};

/// What the sender knows of another daemon.
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

/// Answer to a heartbeat; tells as much about its sender as a heartbeat does.
struct HeartbeatAck
{
    Daemon from;
    HeartbeatSequence sequence;
    /// The heartbeat that is answered.
    HeartbeatSequence answers;
    KnownVersions versions;
    std::vector<DaemonDigest> digests;

    bool operator==(const HeartbeatAck &) const = default;
};

using FleetMessage = std::variant<Heartbeat, HeartbeatAck>;

/// Upper bound of the bytes on the wire: Thrift compact encoding, frame, and TCP/IP headers.
std::size_t wireSize(const FleetMessage &message);

} // namespace Fleet
