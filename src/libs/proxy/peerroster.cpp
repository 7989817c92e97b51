#include "peerroster.h"

#include <base/random.h>

#include <algorithm>

namespace Proxy {

PeerRoster::PeerRoster(Base::VmId self, RosterSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{
    setDaemons({self_});
}

void PeerRoster::setDaemons(const std::vector<Base::VmId> &daemons)
{
    std::map<Base::VmId, Peer> next;
    for (const Base::VmId &daemon : daemons) {
        if (const auto known = peers_.find(daemon); known != peers_.end()) {
            next.emplace(*known);
        } else {
            next[daemon].hash = Base::hash64(daemon.text());
        }
    }
    if (!next.contains(self_)) {
        next[self_].hash = Base::hash64(self_.text());
    }
    peers_ = std::move(next);
    for (const auto &[vm, peer] : peers_) {
        everListed_[vm] = peer.hash;
    }
}

Base::VmId PeerRoster::preferredCoordinator(std::string_view key) const
{
    const auto rank = [&](const auto &entry) { return Base::hash64(key, entry.second); };
    return std::max_element(everListed_.begin(),
                            everListed_.end(),
                            [&](const auto &a, const auto &b) { return rank(a) < rank(b); })
        ->first;
}

Base::VmId PeerRoster::coordinatorFor(std::string_view key, Base::Instant now) const
{
    const Base::VmId *best = &self_;
    std::uint64_t bestRank = Base::hash64(key, peers_.at(self_).hash);
    for (const auto &[vm, peer] : peers_) {
        const std::uint64_t rank = Base::hash64(key, peer.hash);
        if (rank > bestRank && !isSuspect(vm, now)) {
            best = &vm;
            bestRank = rank;
        }
    }
    return *best;
}

std::vector<Base::VmId> PeerRoster::firstByRank(std::string_view key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const Base::VmId *>> ranks;
    ranks.reserve(peers_.size());
    for (const auto &[vm, peer] : peers_) {
        ranks.emplace_back(Base::hash64(key, peer.hash), &vm);
    }
    const std::size_t size = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(size),
                      ranks.end(),
                      [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<Base::VmId> first;
    for (std::size_t i = 0; i < size; ++i) {
        first.push_back(*ranks[i].second);
    }
    return first;
}

std::vector<Base::VmId> PeerRoster::partOf(const std::vector<Base::VmId> &group,
                                           const Base::VmId &member) const
{
    std::vector<Base::VmId> part;
    const auto position = std::find(group.begin(), group.end(), member) - group.begin();
    for (const auto &[vm, peer] : peers_) {
        const bool isOwn = peer.hash % group.size() == static_cast<std::uint64_t>(position);
        if (isOwn && std::find(group.begin(), group.end(), vm) == group.end()) {
            part.push_back(vm);
        }
    }
    return part;
}

void PeerRoster::recordResponse(const Base::VmId &peer)
{
    if (const auto entry = peers_.find(peer); entry != peers_.end()) {
        entry->second.timeouts = 0;
        entry->second.suspectUntil.reset();
    }
}

void PeerRoster::recordTimeout(const Base::VmId &peer, Base::Instant now)
{
    const auto entry = peers_.find(peer);
    if (entry == peers_.end()) {
        return;
    }
    if (++entry->second.timeouts >= settings_.maxTimeouts) {
        entry->second.suspectUntil = now + settings_.suspicionTime;
    }
}

bool PeerRoster::isSuspect(const Base::VmId &peer, Base::Instant now) const
{
    const auto entry = peers_.find(peer);
    return entry != peers_.end() && entry->second.suspectUntil && now < *entry->second.suspectUntil;
}

} // namespace Proxy
