#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <deque>
#include <map>
#include <vector>

namespace Scheduler {

struct WitnessPromiseSettings
{
    /// How long a witness's answer lets the owner lend. A successor, which must seal a witness
    /// first, waits as long before it lends.
    Base::Duration length = std::chrono::seconds(1);
    /// Answers are not counted for this time after a message to the witness failed.
    Base::Duration resync = std::chrono::seconds(3);
};

/// Extends the owner's right to lend while the store is away: each answer of a witness proves that
/// no successor had sealed there when the message it answers was sent.
class WitnessPromises
{
public:
    explicit WitnessPromises(WitnessPromiseSettings settings = {});

    /// Any append was sent to the witness; its answers come in the order of the appends.
    void sent(const Base::IncarnationId &witness, Base::Instant now);
    void answered(const Base::IncarnationId &witness, bool isAccepted);
    /// A message was not acknowledged, so answers can't be matched to appends for a while.
    void failed(const Base::IncarnationId &witness, Base::Instant now);

    /// Until when all of the witnesses' answers last together; the epoch's start without any.
    Base::Instant until(const std::vector<Base::IncarnationId> &witnesses) const;

private:
    struct Witness
    {
        std::deque<Base::Instant> unanswered;
        Base::Instant promisedAt;
        bool hasPromise = false;
        Base::Instant ignoredUntil;
    };

    WitnessPromiseSettings settings_;
    std::map<Base::IncarnationId, Witness> witnesses_;
};

} // namespace Scheduler
