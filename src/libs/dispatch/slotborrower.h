#pragma once

#include "messages.h"
#include "settings.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// Engine slots that one dispatcher holds, and its demand for more.
class SlotBorrower
{
public:
    SlotBorrower(Base::IncarnationId self, Base::Duration requestInterval);

    /// Sends the demand at a server if it differs from the last request.
    void setDemand(const Base::ServerId &server,
                   std::vector<TeamDemand> demands,
                   Base::Instant now);
    /// Adds a granted slot; returns false if the grant is a repeat.
    bool granted(const SlotGrant &grant);
    /// Removes the slot and returns the message to send; an empty team means that the slot was not
    /// used.
    SlotReturn returnSlot(const Base::ServerId &server,
                          const HeldSlot &slot,
                          const Base::TeamId &team,
                          Base::Tokens cost);
    /// The server's partition has a new owner: reports demand and held slots again at once.
    void ownerChanged(const Base::ServerId &server, Base::Instant now);
    void serverGone(const Base::ServerId &server);

    Base::Epoch epoch(const Base::ServerId &server) const;

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SlotRequest> takeRequests();

private:
    /// Number of grants remembered per server to recognise repeats.
    static constexpr std::size_t maxSeenGrants = 256;

    struct Entry
    {
        SlotRequestNumber number;
        std::vector<TeamDemand> demands;
        std::vector<HeldSlot> held;
        std::set<std::pair<Base::Epoch, SlotId>> seenGrants;
        Base::Epoch epoch;
        std::optional<Base::Instant> nextRequest;
    };

    void sendRequest(const Base::ServerId &server, Entry &entry, Base::Instant now);
    void scheduleRequest(const Base::ServerId &server,
                         Entry &entry,
                         std::optional<Base::Instant> at);

    Base::IncarnationId self_;
    Base::Duration requestInterval_;
    std::unordered_map<Base::ServerId, Entry> entries_;
    std::set<std::pair<Base::Instant, Base::ServerId>> scheduled_;
    std::vector<SlotRequest> requests_;
};

} // namespace Dispatch
