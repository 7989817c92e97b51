#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace TurnHistory {

/// Decides which holders to ask to keep one turn, and when to ask again those that failed.
class TurnWrite
{
public:
    struct Settings
    {
        /// Disks that the turn is written to.
        std::size_t copies = 2;
        /// After it, no further round begins.
        Base::Instant deadline;
    };

    enum class State {
        /// Responses are awaited, or a round is to begin.
        Pending,
        Kept,
        /// The turn is not on enough disks, and the time is over.
        NotKept
    };

    explicit TurnWrite(Settings settings);

    /// Begins a round with the registered holders that may have room, in the order in which to ask
    /// them. Like the following, returns the holders to ask now.
    std::vector<Base::VmId> beginRound(const std::vector<Base::VmId> &ranked, Base::Instant now);
    std::vector<Base::VmId> onKept(const Base::VmId &holder, Base::Instant now);
    std::vector<Base::VmId> onFailed(const Base::VmId &holder, Base::Instant now);
    /// The holder's disk has no room; it is not asked again.
    std::vector<Base::VmId> onFull(const Base::VmId &holder, Base::Instant now);
    /// No response has arrived for a while: asks another holder for each that is awaited.
    std::vector<Base::VmId> onSlow(Base::Instant now);

    State state() const;
    /// When to begin the next round; nothing while holders of this one may suffice.
    std::optional<Base::Instant> nextRoundAt() const { return nextRoundAt_; }
    std::size_t rounds() const { return rounds_; }
    std::size_t keptCount() const { return kept_.size(); }
    const std::set<Base::VmId> &awaited() const { return awaited_; }

private:
    std::vector<Base::VmId> askUntilEnough(Base::Instant now);
    void planNextRound(Base::Instant now);

    Settings settings_;
    /// Holders that this round may still ask.
    std::vector<Base::VmId> candidates_;
    std::set<Base::VmId> awaited_;
    /// Those of the awaited that another holder was asked for.
    std::set<Base::VmId> slow_;
    std::set<Base::VmId> full_;
    std::map<Base::VmId, Base::Instant> kept_;
    std::map<Base::VmId, Base::Instant> askedAt_;
    std::size_t rounds_ = 0;
    Base::Duration pause_;
    std::optional<Base::Instant> nextRoundAt_;
    bool isTimeOver_ = false;
};

} // namespace TurnHistory
