#pragma once

#include "digestselection.h"
#include "heartbeattargets.h"
#include "membershipevents.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Fleet {

struct MembershipSettings
{
    Base::Duration heartbeatInterval = std::chrono::seconds(1);
    /// A heartbeat without an answer for this long counts as missed.
    Base::Duration ackTimeout = std::chrono::milliseconds(600);
    /// Unanswered heartbeats in a row that make a daemon a suspect.
    int missedLimit = 2;
    /// Digests in one message.
    std::size_t digestLimit = 3;
    HeartbeatTargetSettings targets;
    /// How long a daemon that is gone is remembered, so that old digests don't revive it.
    Base::Duration goneMemory = std::chrono::minutes(10);
};

/// Who is in the fleet: merges the platform's lagging list of VMs with heartbeats.
/// Small fleets exchange heartbeats in full; larger ones with a few peers in each interval,
/// and changes spread as digests on these messages (after SWIM, Das, Gupta, Motivala 2002).
class MembershipView
{
public:
    /// The seed orders the peers that are reached in each interval.
    MembershipView(Daemon self, MembershipSettings settings, std::uint64_t seed);

    /// A daemon known from elsewhere, such as its lease. It gets heartbeats, and joins when it is
    /// heard from.
    void addDaemon(const Daemon &daemon, Base::Instant now);

    /// The platform's list of VMs as read just now. Call it for complete lists only.
    void handlePlatformList(std::span<const Vm> vms, Base::Instant now);

    void handle(const FleetMessage &message, Base::Instant now);

    /// The daemon's address refused a connection: it is a suspect without waiting for time-outs.
    void handleUnreachable(const Base::IncarnationId &incarnation, Base::Instant now);

    /// Versions that the next heartbeats carry.
    void setVersions(const KnownVersions &versions) { versions_ = versions; }

    /// Tells every peer at once that this daemon gets no new work.
    void beginLeaving(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<FleetAction> takeActions();

    const Daemon &self() const { return self_; }
    /// Null if the incarnation is not known.
    const Daemon *find(const Base::IncarnationId &incarnation) const;
    /// Every known daemon but the own and those that are gone.
    std::vector<Daemon> peers() const;
    /// Whether the daemon may get new work: alive, and neither itself nor its VM is leaving.
    bool mayGetNewWork(const Base::IncarnationId &incarnation) const;
    /// Highest configuration version that any peer reported.
    Base::ConfigVersion highestConfigVersion() const { return highestConfigVersion_; }
    /// Last time that a message came from the daemon itself.
    std::optional<Base::Instant> lastHeard(const Base::IncarnationId &incarnation) const;
    /// Last time that a peer reported highestConfigVersion().
    std::optional<Base::Instant> lastHeardConfigVersion() const { return highestConfigHeard_; }

private:
    template<typename Message>
    Member *handleContact(const Message &message, Base::Instant now);
    Member &memberFor(const Daemon &daemon, Base::Instant now);
    void revive(Member &member);
    void handleDigest(const DaemonDigest &digest, Base::Instant now);
    void verify(Member &member, Base::Instant now);
    void handleDigestOfSelf(const DaemonDigest &digest);
    void applyState(Member &member, DaemonState state);
    void applyVm(Member &member, Base::Instant now);
    void changeState(Member &member, DaemonState state);
    void removeReplaced(const Daemon &newer, Base::Instant now);
    void markGone(Member &member, GoneReason reason, Base::Instant now);
    void suspect(Member &member, Base::Instant now);
    void noteVersions(Member &member, const KnownVersions &versions, Base::Instant now);
    void emit(MembershipEvent event);

    void checkMissed(Base::Instant now);
    void startInterval(Base::Instant now);
    void forgetGone(Base::Instant now);
    void sendHeartbeat(Member &member, Base::Instant now);
    void sendAck(const Member &member, HeartbeatSequence answers);
    std::vector<DaemonDigest> chooseDigests(const Member &receiver);
    int transmissionLimit() const;

    Daemon self_;
    MembershipSettings settings_;
    HeartbeatSequence sequence_{1};
    KnownVersions versions_;
    Base::ConfigVersion highestConfigVersion_;
    std::optional<Base::Instant> highestConfigHeard_;
    Members members_;
    std::map<Base::VmId, Vm> listedVms_;
    HeartbeatTargets targets_;
    DigestSelection digests_;
    std::optional<Base::Instant> nextInterval_;
    std::vector<FleetAction> actions_;
};

} // namespace Fleet
