#include "peertable.h"

#include <base/random.h>

#include <algorithm>
#include <tuple>

namespace Ownership {

namespace {

bool answers(Fleet::DaemonState state)
{
    return state == Fleet::DaemonState::Alive || state == Fleet::DaemonState::Leaving;
}

} // namespace

PeerTable::PeerTable(Fleet::Daemon self)
    : self_(std::move(self))
{
    recount();
}

void PeerTable::setSelfLeaving()
{
    isSelfLeaving_ = true;
    recount();
}

void PeerTable::handle(const Fleet::MembershipEvent &event, Base::Instant now)
{
    std::visit([&](const auto &change) { update(change.daemon, now); }, event);
    if (const auto *gone = std::get_if<Fleet::DaemonGone>(&event)) {
        registered_.erase(gone->daemon.incarnation);
    }
    recount();
}

void PeerTable::update(const Fleet::Daemon &daemon, Base::Instant now)
{
    Peer &peer = peers_[daemon.incarnation];
    peer.daemon = daemon;
    if (answers(daemon.state)) {
        peer.silentSince.reset();
    } else if (!peer.silentSince) {
        peer.silentSince = now;
    }
}

void PeerTable::noteRegistered(const Base::IncarnationId &incarnation)
{
    if (registered_.insert(incarnation).second) {
        recount();
    }
}

void PeerTable::noteAddress(const Fleet::Daemon &daemon)
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

void PeerTable::recount()
{
    candidates_.clear();
    fleetSize_ = answering().size() + 1;
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

bool PeerTable::isAnswering(const Base::IncarnationId &incarnation) const
{
    if (incarnation == self_.incarnation) {
        return true;
    }
    const auto found = peers_.find(incarnation);
    return found != peers_.end() && answers(found->second.daemon.state);
}

std::optional<Base::Instant> PeerTable::silentSince(const Base::IncarnationId &incarnation) const
{
    const auto found = peers_.find(incarnation);
    return found == peers_.end() ? std::nullopt : found->second.silentSince;
}

std::vector<WitnessOption> PeerTable::witnessOptions(Base::Duration grace, Base::Instant now) const
{
    std::vector<WitnessOption> options;
    for (const auto &[incarnation, peer] : peers_) {
        const bool isChoosable = isCandidate(incarnation);
        const bool isKeepable
            = peer.daemon.state == Fleet::DaemonState::Suspect && now < *peer.silentSince + grace;
        if (isChoosable || isKeepable) {
            options.push_back({peer.daemon, isChoosable});
        }
    }
    return options;
}

std::vector<Base::IncarnationId> PeerTable::answering() const
{
    std::vector<Base::IncarnationId> incarnations;
    for (const auto &[incarnation, peer] : peers_) {
        if (answers(peer.daemon.state)) {
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
