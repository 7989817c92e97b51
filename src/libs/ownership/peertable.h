#pragma once

#include "loadtable.h"
#include "witnesschoice.h"

#include <base/instant.h>
#include <fleet/membershipevents.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ownership {

/// The other daemons of the fleet, with the state that ownership depends on.
class PeerTable
{
public:
    explicit PeerTable(Fleet::Daemon self);

    void handle(const Fleet::MembershipEvent &event, Base::Instant now);
    /// Records that the daemon has a lease in the store, so it may own partitions.
    void markRegistered(const Base::IncarnationId &incarnation);
    /// Stores the address of a daemon that is known from its lease only.
    void setAddress(const Fleet::Daemon &daemon);
    void setSelfLeaving();

    /// Daemons that may be assigned partitions, including this one unless it is leaving.
    const std::vector<Candidate> &candidates() const { return candidates_; }
    bool isCandidate(const Base::IncarnationId &incarnation) const;

    /// Rank of this daemon among the candidates, 0 for the first; empty if it is leaving. All
    /// daemons use the same hash for the order, so that one of them writes all takeovers.
    std::optional<std::size_t> rank() const { return rank_; }

    /// Number of responsive daemons, including this one.
    std::size_t fleetSize() const { return fleetSize_; }
    /// Whether the daemon is alive or leaving; an unknown daemon is not responsive.
    bool isResponsive(const Base::IncarnationId &incarnation) const;
    /// When it became unresponsive; empty if it is responsive or unknown.
    std::optional<Base::Instant> unresponsiveSince(const Base::IncarnationId &incarnation) const;

    /// Daemons that may be witnesses. One that has been unresponsive for less than the grace period
    /// is included, but not eligible.
    std::vector<WitnessOption> witnessOptions(Base::Duration grace, Base::Instant now) const;
    std::vector<Base::IncarnationId> responsivePeers() const;
    const Fleet::PeerAddress *address(const Base::IncarnationId &incarnation) const;
    const Fleet::Daemon &self() const { return self_; }

private:
    struct Peer
    {
        Fleet::Daemon daemon;
        std::optional<Base::Instant> unresponsiveSince;
    };

    void update(const Fleet::Daemon &daemon, Base::Instant now);
    void updateCandidates();

    Fleet::Daemon self_;
    bool isSelfLeaving_ = false;
    std::map<Base::IncarnationId, Peer> peers_;
    std::set<Base::IncarnationId> registered_;
    std::map<Base::IncarnationId, Fleet::PeerAddress> addresses_;
    std::vector<Candidate> candidates_;
    std::optional<std::size_t> rank_;
    std::size_t fleetSize_ = 1;
};

} // namespace Ownership
