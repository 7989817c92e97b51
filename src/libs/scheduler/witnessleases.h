#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <deque>
#include <map>
#include <vector>

namespace Scheduler {

struct WitnessLeaseSettings
{
    /// How long an accepting reply of a witness lets the owner lend. A successor must seal a
    /// witness first and waits as long before it lends.
    Base::Duration duration = std::chrono::seconds(1);
    /// Replies are ignored for this time after a message to the witness failed.
    Base::Duration resyncDelay = std::chrono::seconds(3);
};

/// Extends the owner's right to lend while the store is unavailable: each accepting reply of a
/// witness proves that no successor had sealed it when the corresponding append was sent.
class WitnessLeases
{
public:
    explicit WitnessLeases(WitnessLeaseSettings settings = {});

    /// An append was sent to the witness, which replies in the order of the appends.
    void appendSent(const Base::IncarnationId &witness, Base::Instant now);
    void replyReceived(const Base::IncarnationId &witness, bool isAccepted);
    /// A message was not acknowledged, so replies cannot be matched to appends during resyncDelay.
    void sendFailed(const Base::IncarnationId &witness, Base::Instant now);

    /// The earliest expiry among the witnesses' leases; the clock's epoch if any witness has none.
    Base::Instant expiry(const std::vector<Base::IncarnationId> &witnesses) const;

private:
    struct Witness
    {
        std::deque<Base::Instant> appendsInFlight;
        Base::Instant renewedAt;
        bool isHeld = false;
        Base::Instant ignoredUntil;
    };

    WitnessLeaseSettings settings_;
    std::map<Base::IncarnationId, Witness> witnesses_;
};

} // namespace Scheduler
