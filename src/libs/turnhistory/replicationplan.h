#pragma once

#include "holderranking.h"
#include "turncodec.h"
#include "turnindex.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace TurnHistory {

/// Turns to offer to one peer, and the progress that their confirmation means.
struct PlannedOffer
{
    Base::VmId peer;
    OfferRequest request;
    /// Every turn up to this sequence number is either in the offer or needs no offer.
    std::uint64_t upTo = 0;
    /// Changes whenever the progress with the peer starts again from the beginning.
    std::uint64_t round = 0;
};

/// Keeps the required number of copies of each turn while holders fail, return and leave: every
/// holder of a turn offers it to those that rank first for it among the reachable holders.
///
/// Tolerates the loss of \a copies - 1 disks at once if each of them is synchronized again, as told
/// by isSynchronized(), before another one is lost.
class ReplicationPlan
{
public:
    struct Settings
    {
        std::size_t copies = 2;
        /// A holder that was not reached for this time is replaced by the next in rank.
        Base::Duration reachableTimeout = std::chrono::milliseconds(1500);
        /// A holder that no other has reached for this time may be removed from the registered
        /// ones.
        Base::Duration lostTimeout = std::chrono::seconds(10);
        std::size_t turnsPerOffer = 1000;
    };

    /// \a isSynchronized tells whether the disk is known to hold all that it has to.
    ReplicationPlan(
        Holder self, DiskId disk, bool isSynchronized, Settings settings, const TurnIndex &index);

    /// Sets the registered holders other than this one.
    void setPeers(const std::vector<Holder> &peers, Base::Instant now);
    /// Replaces what is known of the disk; before the first offer only.
    void setDisk(DiskId disk, bool isSynchronized);
    /// From now on this holder keeps no turns; its turns are handed over.
    void setLeaving();
    bool isLeaving() const { return isLeaving_; }

    /// The next offer to the peer, which may name no turns; its response tells whether the peer is
    /// reachable.
    PlannedOffer nextOffer(const Base::VmId &peer, Base::Instant now);
    void offerAnswered(const Base::VmId &peer, const OfferResponse &response, Base::Instant now);
    /// Every turn of the offer is on the peer's disk.
    void offerConfirmed(const PlannedOffer &offer);
    /// Whether the peer has yet to confirm turns.
    bool isBehind(const Base::VmId &peer) const;

    /// Handles the offer of a peer to this holder. The caller adds the missing turns to the
    /// response.
    OfferResponse offerReceived(const OfferRequest &offer, Base::Instant now);
    /// Whether this disk has all turns that it has to keep, unless more disks were lost than
    /// tolerated.
    bool isSynchronized() const { return isSynchronized_; }
    /// No acknowledged turn was ever on this disk, so it lacks none.
    void setSynchronized() { isSynchronized_ = true; }
    /// Whether all turns of this leaving holder are held by the required number of others.
    bool isHandedOver(Base::Instant now);
    /// Whether all reachable peers have what they have to keep of this holder's turns.
    bool isReplicated(Base::Instant now);
    /// The same for the turns from before the reachable holders or their disks last changed. Later
    /// turns were written to the required number of disks.
    bool isSettled(Base::Instant now);
    /// Peers without which no turn is lost and none is taken for absent: no other holder reaches
    /// them, and all of those are synchronized and have copied their turns to each other.
    std::vector<Base::VmId> removablePeers(Base::Instant now);

private:
    struct Peer
    {
        Holder holder;
        DiskId disk;
        Base::Instant reachedAt;
        /// The last answer to an offer.
        OfferResponse answer;
        std::uint64_t confirmedUpTo = 0;
        std::uint64_t round = 0;
    };

    void updateRing(Base::Instant now);
    std::set<Base::VmId> lostPeers(Base::Instant now) const;
    bool areConfirmed(std::uint64_t sequence) const;
    bool arePeersSettled(Base::Instant now) const;
    void restart(Peer &peer);
    bool isAssigned(const IndexedTurn &turn, const Base::VmId &peer) const;

    Holder self_;
    DiskId disk_;
    bool isSynchronized_;
    Settings settings_;
    const TurnIndex &index_;
    bool isLeaving_ = false;
    std::map<Base::VmId, Peer> peers_;
    /// Reachable holders that are not leaving.
    std::vector<Holder> ring_;
    /// Peers that have completed their offers to this disk.
    std::set<Base::VmId> completedBy_;
    std::uint64_t lastRound_ = 0;
    /// Last turn of this holder when the reachable holders or their disks last changed.
    std::uint64_t lastBeforeChange_ = 0;
};

} // namespace TurnHistory
