#include "peertable.h"

#include <base/random.h>

#include <algorithm>
#include <tuple>

namespace Ownership {

namespace {

bool isResponsiveState(Fleet::DaemonState state)
{
    return state == Fleet::DaemonState::Alive || state == Fleet::DaemonState::Leaving;
}

} // namespace

PeerTable::PeerTable(Fleet::Daemon self)
    : self_(std::move(self))
{
    updateCandidates();
}

void PeerTable::setSelfLeaving()
{
    isSelfLeaving_ = true;
    updateCandidates();
}

void PeerTable::handle(const Fleet::MembershipEvent &event, Base::Instant now)
{
    std::visit([&](const auto &change) { update(change.daemon, now); }, event);
    if (const auto *gone = std::get_if<Fleet::DaemonGone>(&event)) {
        registered_.erase(gone->daemon.incarnation);
    }
    updateCandidates();
}

void PeerTable::update(const Fleet::Daemon &daemon, Base::Instant now)
{
    Peer &peer = peers_[daemon.incarnation];
    peer.daemon = daemon;
    if (isResponsiveState(daemon.state)) {
        peer.unresponsiveSince.reset();
    } else if (!peer.unresponsiveSince) {
        peer.unresponsiveSince = now;
    }
}

void PeerTable::markRegistered(const Base::IncarnationId &incarnation)
{
    if (registered_.insert(incarnation).second) {
        updateCandidates();
    }
}

void PeerTable::setAddress(const Fleet::Daemon &daemon)
{
    addresses_.insert_or_assign(daemon.incarnation, daemon.address);
}

bool PeerTable::isCandidate(const Base::IncarnationId &incarnation) const
{
    if (incarnation == self_.incarnation) {
        return !isSelfLeaving_;
    }
    const auto found = peers_.find(incarnation);
    return found != peers_.end() && found->second.daemon.state == Fleet::DaemonState::Alive
           && registered_.contains(incarnation);
}

void PeerTable::updateCandidates()
{
    candidates_.clear();
    fleetSize_ = responsivePeers().size() + 1;
    for (const auto &[incarnation, peer] : peers_) {
        if (isCandidate(incarnation)) {
            candidates_.push_back({incarnation, peer.daemon.zone});
        }
    }
    const auto key = [](const Base::IncarnationId &incarnation) {
        return std::tuple(Base::hash64(incarnation.text()), incarnation);
    };
    const auto isBefore = [&, own = key(self_.incarnation)](const Candidate &candidate) {
        return key(candidate.incarnation) < own;
    };
    rank_.reset();
    if (!isSelfLeaving_) {
        rank_ = static_cast<std::size_t>(std::ranges::count_if(candidates_, isBefore));
        candidates_.push_back({self_.incarnation, self_.zone});
    }
}

bool PeerTable::isResponsive(const Base::IncarnationId &incarnation) const
{
    if (incarnation == self_.incarnation) {
        return true;
    }
    const auto found = peers_.find(incarnation);
    return found != peers_.end() && isResponsiveState(found->second.daemon.state);
}

std::optional<Base::Instant> PeerTable::unresponsiveSince(
    const Base::IncarnationId &incarnation) const
{
    const auto found = peers_.find(incarnation);
    return found == peers_.end() ? std::nullopt : found->second.unresponsiveSince;
}

std::vector<WitnessOption> PeerTable::witnessOptions(Base::Duration grace, Base::Instant now) const
{
    std::vector<WitnessOption> options;
    for (const auto &[incarnation, peer] : peers_) {
        const bool isEligible = isCandidate(incarnation);
        const bool isRetainable = peer.daemon.state == Fleet::DaemonState::Suspect
                                  && now < *peer.unresponsiveSince + grace;
        if (isEligible || isRetainable) {
            options.push_back({peer.daemon, isEligible});
        }
    }
    return options;
}

std::vector<Base::IncarnationId> PeerTable::responsivePeers() const
{
    std::vector<Base::IncarnationId> incarnations;
    for (const auto &[incarnation, peer] : peers_) {
        if (isResponsiveState(peer.daemon.state)) {
            incarnations.push_back(incarnation);
        }
    }
    return incarnations;
}

const Fleet::PeerAddress *PeerTable::address(const Base::IncarnationId &incarnation) const
{
    if (incarnation == self_.incarnation) {
        return &self_.address;
    }
    const auto peer = peers_.find(incarnation);
    if (peer != peers_.end()) {
        return &peer->second.daemon.address;
    }
    const auto known = addresses_.find(incarnation);
    return known == addresses_.end() ? nullptr : &known->second;
}

} // namespace Ownership
