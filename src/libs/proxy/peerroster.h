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
    /// Unanswered questions in a row after which a daemon is passed over; datagrams may be lost.
    int unansweredLimit = 2;
    /// Time for which it is passed over before it is asked again.
    Base::Duration suspicion = std::chrono::seconds(1);
};

/// The daemons of the fleet and which of them answer. Duties are dealt by rendezvous hashing, so
/// that daemons with the same view agree, and the loss of one moves only its own duties.
class PeerRoster
{
public:
    PeerRoster(Base::VmId self, RosterSettings settings = {});

    /// The complete list, this daemon included.
    void setDaemons(const std::vector<Base::VmId> &daemons);
    std::size_t size() const { return peers_.size(); }

    /// The daemon on duty for the key among those that answer; this daemon if no other does.
    Base::VmId coordinatorFor(std::string_view key, Base::Instant now) const;

    bool isPreferredCoordinator(std::string_view key) const
    {
        return preferredCoordinator(key) == self_;
    }
    /// The daemon that has the duty before any other that was ever listed, lost ones included.
    Base::VmId preferredCoordinator(std::string_view key) const;

    void answered(const Base::VmId &peer);
    void unanswered(const Base::VmId &peer, Base::Instant now);
    bool isSuspect(const Base::VmId &peer, Base::Instant now) const;

private:
    struct Peer
    {
        std::uint64_t hash = 0;
        int unanswered = 0;
        std::optional<Base::Instant> suspectUntil;
    };

    Base::VmId self_;
    RosterSettings settings_;
    std::map<Base::VmId, Peer> peers_;
    /// All daemons that were ever listed, and their hashes.
    std::map<Base::VmId, std::uint64_t> everListed_;
};

} // namespace Proxy
