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
    /// A heartbeat that is not acknowledged within this time counts as missed.
    Base::Duration ackTimeout = std::chrono::milliseconds(600);
    /// Consecutive missed heartbeats after which a daemon is suspected.
    int missedLimit = 2;
    /// Maximum number of digests in one message.
    std::size_t digestLimit = 3;
    HeartbeatTargetSettings targets;
    /// Time for which a gone daemon is kept, so that outdated digests don't add it again.
    Base::Duration goneRetention = std::chrono::minutes(10);
};

/// Tracks the members of the fleet, combining heartbeats with the platform's list of VMs, which
/// lags. In a small fleet each daemon exchanges heartbeats with all others; in a larger one with a
/// few peers in each interval, and changes spread as digests on these messages (after SWIM, Das,
/// Gupta, Motivala 2002).
class MembershipView
{
public:
    /// The seed determines the random order in which peers are contacted.
    MembershipView(Daemon self, MembershipSettings settings, std::uint64_t seed);

    /// Adds a daemon known from another source, such as its lease. It is sent heartbeats, and joins
    /// once it responds.
    void addDaemon(const Daemon &daemon, Base::Instant now);

    /// Applies the platform's current list of VMs, which must be complete.
    void handlePlatformList(std::span<const Vm> vms, Base::Instant now);

    void handle(const FleetMessage &message, Base::Instant now);

    /// The daemon's address refused a connection: suspects it without waiting for timeouts.
    void handleUnreachable(const Base::IncarnationId &incarnation, Base::Instant now);

    /// Sets the versions that heartbeats carry.
    void setVersions(const KnownVersions &versions) { versions_ = versions; }

    /// Notifies every peer immediately that this daemon accepts no new work.
    void beginLeaving(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<FleetAction> takeActions();

    const Daemon &self() const { return self_; }
    /// Null if the incarnation is not known.
    const Daemon *find(const Base::IncarnationId &incarnation) const;
    /// Every known daemon except this one and those that are gone.
    std::vector<Daemon> peers() const;
    /// Whether the daemon may get new work: it is alive, and neither it nor its VM is leaving.
    bool mayGetNewWork(const Base::IncarnationId &incarnation) const;
    /// Highest configuration version that any peer reported.
    Base::ConfigVersion highestConfigVersion() const { return highestConfigVersion_; }
    /// Time of the last message from the daemon itself.
    std::optional<Base::Instant> lastContact(const Base::IncarnationId &incarnation) const;
    /// Time of the last report of highestConfigVersion() by a peer.
    std::optional<Base::Instant> highestConfigReportedAt() const
    {
        return highestConfigReportedAt_;
    }

private:
    template<typename Message>
    Member *handleContact(const Message &message, Base::Instant now);
    Member &memberFor(const Daemon &daemon, Base::Instant now);
    void resetGone(Member &member);
    void handleDigest(const DaemonDigest &digest, Base::Instant now);
    void verify(Member &member, Base::Instant now);
    void handleDigestOfSelf(const DaemonDigest &digest);
    void applyState(Member &member, DaemonState state);
    void applyVm(Member &member, Base::Instant now);
    void changeState(Member &member, DaemonState state);
    void removeReplaced(const Daemon &newer, Base::Instant now);
    void markGone(Member &member, GoneReason reason, Base::Instant now);
    void suspect(Member &member, Base::Instant now);
    void updateVersions(Member &member, const KnownVersions &versions, Base::Instant now);
    void emit(MembershipEvent event);

    void checkAckTimeouts(Base::Instant now);
    void startInterval(Base::Instant now);
    void evictGone(Base::Instant now);
    void sendHeartbeat(Member &member, Base::Instant now);
    void sendAck(const Member &member, HeartbeatSequence answers);
    std::vector<DaemonDigest> chooseDigests(const Member &receiver);
    int transmissionLimit() const;

    Daemon self_;
    MembershipSettings settings_;
    HeartbeatSequence sequence_{1};
    KnownVersions versions_;
    Base::ConfigVersion highestConfigVersion_;
    std::optional<Base::Instant> highestConfigReportedAt_;
    Members members_;
    std::map<Base::VmId, Vm> listedVms_;
    HeartbeatTargets targets_;
    DigestSelection digests_;
    std::optional<Base::Instant> nextInterval_;
    std::vector<FleetAction> actions_;
};

} // namespace Fleet
