#pragma once

#include "messages.h"

#include <base/instant.h>

#include <map>
#include <optional>

namespace Fleet {

/// What the membership view knows of one other daemon.
struct Member
{
    Daemon daemon;
    HeartbeatSequence sequence;
    KnownVersions versions;
    std::optional<Base::Instant> lastHeard;
    /// When the oldest unanswered heartbeat was sent.
    std::optional<Base::Instant> awaitedSince;
    std::optional<Base::Instant> goneSince;
    int missed = 0;
    /// How often this member's latest change is still to be sent.
    int transmissionsLeft = 0;
    /// It was heard from, or a peer that heard from it said so.
    bool hasJoined = false;
    bool wasContacted = false;
    bool isLeaving = false;
    bool wasVmListed = false;
};

using Members = std::map<Base::IncarnationId, Member>;

/// Whether the daemon still gets heartbeats.
inline bool isReachable(const Member &member)
{
    return member.daemon.state != DaemonState::Gone;
}

} // namespace Fleet
