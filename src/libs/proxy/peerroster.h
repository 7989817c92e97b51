#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Proxy {

struct RosterSettings
{
    /// Consecutive timeouts after which a daemon is suspected; single datagrams may be lost.
    int maxTimeouts = 2;
    /// Time for which a suspected daemon is skipped before requests are sent to it again.
    Base::Duration suspicionTime = std::chrono::seconds(1);
};

/// The daemons of the fleet and which of them respond. Chooses the coordinator of a key by
/// rendezvous hashing, so that daemons with the same view agree, and the loss of one daemon moves
/// only the keys that it coordinated.
class PeerRoster
{
public:
    PeerRoster(Base::VmId self, RosterSettings settings = {});

    /// Sets the complete list, including this daemon.
    void setDaemons(const std::vector<Base::VmId> &daemons);
    std::size_t size() const { return peers_.size(); }

    /// The coordinator of the key among the daemons that respond; this daemon if no other does.
    Base::VmId coordinatorFor(std::string_view key, Base::Instant now) const;

    bool isPreferredCoordinator(std::string_view key) const
    {
        return preferredCoordinator(key) == self_;
    }
    /// The coordinator of the key among all daemons that were ever listed, lost ones included.
    Base::VmId preferredCoordinator(std::string_view key) const;

    /// The first daemons by rank for the key, whether they respond or not.
    std::vector<Base::VmId> firstByRank(std::string_view key, std::size_t count) const;

    /// The daemons outside of \a group that \a member of the group is responsible for; empty for
    /// daemons that are no members.
    std::vector<Base::VmId> partOf(const std::vector<Base::VmId> &group,
                                   const Base::VmId &member) const;

    void recordResponse(const Base::VmId &peer);
    void recordTimeout(const Base::VmId &peer, Base::Instant now);
    bool isSuspect(const Base::VmId &peer, Base::Instant now) const;

private:
    struct Peer
    {
        std::uint64_t hash = 0;
        int timeouts = 0;
        std::optional<Base::Instant> suspectUntil;
    };

    Base::VmId self_;
    RosterSettings settings_;
    std::map<Base::VmId, Peer> peers_;
    /// Hashes of all daemons that were ever listed.
    std::map<Base::VmId, std::uint64_t> everListed_;
};

} // namespace Proxy
