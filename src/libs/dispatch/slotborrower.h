#pragma once

#include "messages.h"
#include "settings.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Dispatch {

/// The slots of engines that one dispatcher holds, and what it asks for.
class SlotBorrower
{
public:
    SlotBorrower(Base::IncarnationId self, Base::Duration statementInterval);

    /// States the demand at a server if it differs from the last statement.
    void demand(const Base::ServerId &server, std::vector<TeamDemand> demands, Base::Instant now);
    /// Notes a granted slot; false if it was known already.
    bool granted(const SlotGrant &grant);
    /// Gives the slot back; an empty team says that it was not used.
    SlotReturn giveBack(const Base::ServerId &server,
                        const HeldSlot &slot,
                        const Base::TeamId &team,
                        Base::Tokens cost);
    /// The server's partition has another owner: everything is stated again at once.
    void ownerChanged(const Base::ServerId &server, Base::Instant now);
    void serverGone(const Base::ServerId &server);

    Base::Epoch epoch(const Base::ServerId &server) const;

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SlotRequest> takeRequests();

private:
    /// Grants remembered per server, to tell repeats.
    static constexpr std::size_t knownLimit = 256;

    struct Line
    {
        SlotRequestNumber number;
        std::vector<TeamDemand> demands;
        std::vector<HeldSlot> held;
        std::set<std::pair<Base::Epoch, SlotId>> known;
        Base::Epoch epoch;
        std::optional<Base::Instant> nextStatement;
    };

    void state(const Base::ServerId &server, Line &line, Base::Instant now);
    void plan(const Base::ServerId &server, Line &line, std::optional<Base::Instant> at);

    Base::IncarnationId self_;
    Base::Duration statementInterval_;
    std::unordered_map<Base::ServerId, Line> lines_;
    std::set<std::pair<Base::Instant, Base::ServerId>> statements_;
    std::vector<SlotRequest> requests_;
};

} // namespace Dispatch
