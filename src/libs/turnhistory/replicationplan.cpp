#include "replicationplan.h"

#include <algorithm>

namespace TurnHistory {

namespace {

/// Limit on the turns examined for one offer, so that a tick stays short.
constexpr std::size_t examinedPerOffer = 5000;

} // namespace

ReplicationPlan::ReplicationPlan(
    Holder self, DiskId disk, bool isSynchronized, Settings settings, const TurnIndex &index)
    : self_(std::move(self))
    , disk_(std::move(disk))
    , isSynchronized_(isSynchronized)
    , settings_(settings)
    , index_(index)
{}

void ReplicationPlan::setPeers(const std::vector<Holder> &peers, Base::Instant now)
{
    std::map<Base::VmId, Peer> next;
    for (const Holder &holder : peers) {
        const auto known = peers_.find(holder.vm);
        if (known != peers_.end()) {
            next.emplace(holder.vm, std::move(known->second));
            continue;
        }
        Peer peer;
        peer.holder = holder;
        peer.reachedAt = now; // counts as reachable until it has had time to respond
        restart(peer);
        next.emplace(holder.vm, std::move(peer));
    }
    peers_ = std::move(next);
    std::erase_if(completedBy_, [&](const auto &vm) { return !peers_.contains(vm); });
    updateRing(now);
}

void ReplicationPlan::setDisk(DiskId disk, bool isSynchronized)
{
    disk_ = std::move(disk);
    isSynchronized_ = isSynchronized;
}

void ReplicationPlan::setLeaving()
{
    isLeaving_ = true;
}

void ReplicationPlan::restart(Peer &peer)
{
    peer.confirmedUpTo = 0;
    peer.round = ++lastRound_;
}

/// Recomputes the reachable holders. If they change, other holders rank first for some turns, so
/// every turn is examined again.
void ReplicationPlan::updateRing(Base::Instant now)
{
    std::vector<Holder> ring;
    if (!isLeaving_) {
        ring.push_back(self_);
    }
    for (const auto &[vm, peer] : peers_) {
        if (!peer.answer.isLeaving && now - peer.reachedAt < settings_.reachableTimeout) {
            ring.push_back(peer.holder);
        }
    }
    if (ring == ring_) {
        return;
    }
    ring_ = std::move(ring);
    lastBeforeChange_ = index_.lastSequence();
    for (auto &[vm, peer] : peers_) {
        restart(peer);
    }
}

bool ReplicationPlan::isAssigned(const IndexedTurn &turn, const Base::VmId &peer) const
{
    const std::vector<Base::VmId> ranked = rankHolders(turn.placementKey, ring_);
    const std::size_t count = std::min(settings_.copies, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(ranked.begin(), end, peer) != end;
}

PlannedOffer ReplicationPlan::nextOffer(const Base::VmId &peer, Base::Instant now)
{
    updateRing(now);
    PlannedOffer offer;
    offer.peer = peer;
    offer.request.sender = self_.vm;
    const auto entry = peers_.find(peer);
    if (entry == peers_.end()) {
        return offer;
    }
    const Peer &state = entry->second;
    offer.round = state.round;
    offer.request.receiverDisk = state.disk;
    offer.upTo = state.confirmedUpTo;
    std::size_t examined = 0;
    const IndexedTurn *turn = index_.next(offer.upTo);
    while (turn && examined < examinedPerOffer
           && offer.request.turns.size() < settings_.turnsPerOffer) {
        ++examined;
        offer.upTo = turn->sequence;
        if (isAssigned(*turn, peer)) {
            offer.request.turns.push_back(turn->id);
        }
        turn = index_.next(offer.upTo);
    }
    offer.request.isComplete
        = isSynchronized_ && isSettled(now) && ring_.size() >= settings_.copies;
    return offer;
}

void ReplicationPlan::offerAnswered(const Base::VmId &peer,
                                    const OfferResponse &response,
                                    Base::Instant now)
{
    const auto entry = peers_.find(peer);
    if (entry == peers_.end()) {
        return;
    }
    Peer &state = entry->second;
    state.reachedAt = now;
    state.answer = response;
    state.answer.missing.clear();
    if (state.disk != response.disk) {
        state.disk = response.disk;
        lastBeforeChange_ = index_.lastSequence();
        restart(state);
    }
    updateRing(now);
}

void ReplicationPlan::offerConfirmed(const PlannedOffer &offer)
{
    const auto entry = peers_.find(offer.peer);
    if (entry != peers_.end() && entry->second.round == offer.round) {
        entry->second.confirmedUpTo = offer.upTo;
    }
}

bool ReplicationPlan::isBehind(const Base::VmId &peer) const
{
    const auto entry = peers_.find(peer);
    return entry != peers_.end() && index_.next(entry->second.confirmedUpTo) != nullptr;
}

/// A turn that this disk lost is on at least copies - 1 other disks. At most copies - 2 of them are
/// lost too, so if all peers but copies - 2 have copied their turns to all that have to keep them,
/// the turn has all of its copies again.
OfferResponse ReplicationPlan::offerReceived(const OfferRequest &offer, Base::Instant now)
{
    const bool isUseful = !isSynchronized_ && !isLeaving_ && offer.isComplete
                          && offer.receiverDisk == disk_ && peers_.contains(offer.sender);
    if (isUseful) {
        completedBy_.insert(offer.sender);
        const std::size_t tolerated = settings_.copies >= 2 ? settings_.copies - 2 : 0;
        isSynchronized_ = completedBy_.size() + tolerated >= peers_.size();
    }
    OfferResponse response;
    response.disk = disk_;
    response.isLeaving = isLeaving_;
    response.isReplicated = isReplicated(now);
    response.isSettled = isSettled(now);
    response.isSynchronized = isSynchronized_;
    response.lostHolders = lostPeers(now);
    response.isSenderInRing = std::any_of(ring_.begin(), ring_.end(), [&](const Holder &holder) {
        return holder.vm == offer.sender;
    });
    return response;
}

std::set<Base::VmId> ReplicationPlan::lostPeers(Base::Instant now) const
{
    std::set<Base::VmId> result;
    for (const auto &[vm, peer] : peers_) {
        if (now - peer.reachedAt >= settings_.lostTimeout) {
            result.insert(vm);
        }
    }
    return result;
}

/// If no more holders are lost than one turn has copies but one, each turn is on one of the others,
/// and so, as they have all copied their turns to each other, on enough of them.
std::vector<Base::VmId> ReplicationPlan::removablePeers(Base::Instant now)
{
    const std::set<Base::VmId> lost = lostPeers(now);
    const bool isSafeNumber = !lost.empty() && lost.size() < settings_.copies;
    if (!isSafeNumber || !isSynchronized_ || !isReplicated(now)
        || ring_.size() < settings_.copies) {
        return {};
    }
    for (const auto &[vm, peer] : peers_) {
        const bool isLost = lost.contains(vm);
        const bool agrees = now - peer.reachedAt < settings_.reachableTimeout
                            && peer.answer.isSynchronized && peer.answer.isReplicated
                            && peer.answer.lostHolders == lost;
        if (!isLost && !agrees) {
            return {};
        }
    }
    return {lost.begin(), lost.end()};
}

/// Whether every reachable peer has confirmed the turns up to the sequence number.
bool ReplicationPlan::areConfirmed(std::uint64_t sequence) const
{
    return std::all_of(ring_.begin(), ring_.end(), [&](const Holder &holder) {
        const auto peer = peers_.find(holder.vm);
        return peer == peers_.end() || peer->second.confirmedUpTo >= sequence;
    });
}

bool ReplicationPlan::isReplicated(Base::Instant now)
{
    updateRing(now);
    return areConfirmed(index_.lastSequence());
}

bool ReplicationPlan::isSettled(Base::Instant now)
{
    updateRing(now);
    return areConfirmed(lastBeforeChange_);
}

/// Whether every other holder has replaced the copies that were on this disk.
bool ReplicationPlan::arePeersSettled(Base::Instant now) const
{
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        const OfferResponse &answer = peer.answer;
        return now - peer.reachedAt < settings_.reachableTimeout && answer.isSynchronized
               && answer.isSettled && !answer.isSenderInRing;
    });
}

/// A holder whose disk was lost cannot hand over what was on it, so it stays until the others have:
/// without its registration the turns that it lacks would be taken for absent while few of their
/// copies cannot be reached.
bool ReplicationPlan::isHandedOver(Base::Instant now)
{
    return isLeaving_ && isReplicated(now) && ring_.size() >= settings_.copies
           && (isSynchronized_ || arePeersSettled(now));
}

} // namespace TurnHistory
