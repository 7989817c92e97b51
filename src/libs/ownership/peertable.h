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

/// What ownership has to know of the other daemons.
class PeerTable
{
public:
    explicit PeerTable(Fleet::Daemon self);

    void handle(const Fleet::MembershipEvent &event, Base::Instant now);
    /// The daemon has a lease in the store, so it may own partitions.
    void noteRegistered(const Base::IncarnationId &incarnation);
    /// A daemon known from its lease only; keeps its address.
    void noteAddress(const Fleet::Daemon &daemon);
    void setSelfLeaving();

    /// Daemons that may get partitions, this one included unless it leaves.
    const std::vector<Candidate> &candidates() const { return candidates_; }
    bool isCandidate(const Base::IncarnationId &incarnation) const;

    /// This daemon's place among those who may take over, 0 for the first; empty if it may not.
    /// All contenders are ranked by one hash, so that all takeovers come from one writer.
    std::optional<std::size_t> rank() const { return rank_; }

    /// Daemons that answer, this one included.
    std::size_t fleetSize() const { return fleetSize_; }
    /// Whether the daemon answers; a daemon that was never heard of does not.
    bool isAnswering(const Base::IncarnationId &incarnation) const;
    /// When it stopped answering; empty if it answers or was never heard of.
    std::optional<Base::Instant> silentSince(const Base::IncarnationId &incarnation) const;

    /// Witnesses that were silent for less than the grace may be kept.
    std::vector<WitnessOption> witnessOptions(Base::Duration grace, Base::Instant now) const;
    std::vector<Base::IncarnationId> answering() const;
    const Fleet::PeerAddress *address(const Base::IncarnationId &incarnation) const;
    const Fleet::Daemon &self() const { return self_; }

private:
    struct Peer
    {
        Fleet::Daemon daemon;
        std::optional<Base::Instant> silentSince;
    };

    void update(const Fleet::Daemon &daemon, Base::Instant now);
    void recount();

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
