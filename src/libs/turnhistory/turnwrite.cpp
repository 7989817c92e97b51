#include "turnwrite.h"

#include <algorithm>

namespace TurnHistory {

namespace {

/// Daemons that restart together listen again after 0.2 to 0.6 s.
constexpr Base::Duration firstPause = std::chrono::milliseconds(50);
constexpr Base::Duration longestPause = std::chrono::milliseconds(400);

/// Limits the calls of a turn in later rounds to these and as many as the turn has copies, so that
/// many turns that wait cause few calls to each holder.
constexpr std::size_t spareHolders = 2;

/// The disk of a holder may be lost after it has confirmed the turn. Older confirmations are
/// requested again; holders confirm at once what they have.
constexpr Base::Duration confirmationPeriod = std::chrono::milliseconds(600);

} // namespace

TurnWrite::TurnWrite(Settings settings)
    : settings_(settings)
    , pause_(firstPause)
{}

/// Later rounds first ask the holders that were not asked for the longest time, so that none stays
/// unasked while others fail again and again.
std::vector<Base::VmId> TurnWrite::beginRound(const std::vector<Base::VmId> &ranked,
                                              Base::Instant now)
{
    nextRoundAt_.reset();
    std::erase_if(kept_, [&](const auto &entry) {
        return now - entry.second > confirmationPeriod
               || std::find(ranked.begin(), ranked.end(), entry.first) == ranked.end();
    });
    candidates_.clear();
    for (const Base::VmId &holder : ranked) {
        if (!kept_.contains(holder) && !awaited_.contains(holder) && !full_.contains(holder)) {
            candidates_.push_back(holder);
        }
    }
    if (rounds_++ > 0) {
        const auto askedAt = [&](const Base::VmId &holder) {
            const auto entry = askedAt_.find(holder);
            return entry == askedAt_.end() ? Base::Instant{} : entry->second;
        };
        std::stable_sort(candidates_.begin(), candidates_.end(), [&](const auto &a, const auto &b) {
            return askedAt(a) < askedAt(b);
        });
        candidates_.resize(std::min(candidates_.size(), settings_.copies + spareHolders));
    }
    return askUntilEnough(now);
}

std::vector<Base::VmId> TurnWrite::onKept(const Base::VmId &holder, Base::Instant now)
{
    awaited_.erase(holder);
    slow_.erase(holder);
    kept_[holder] = now;
    return askUntilEnough(now);
}

std::vector<Base::VmId> TurnWrite::onFailed(const Base::VmId &holder, Base::Instant now)
{
    awaited_.erase(holder);
    slow_.erase(holder);
    return askUntilEnough(now);
}

std::vector<Base::VmId> TurnWrite::onFull(const Base::VmId &holder, Base::Instant now)
{
    full_.insert(holder);
    return onFailed(holder, now);
}

std::vector<Base::VmId> TurnWrite::onSlow(Base::Instant now)
{
    slow_ = awaited_;
    return askUntilEnough(now);
}

TurnWrite::State TurnWrite::state() const
{
    if (kept_.size() >= settings_.copies) {
        return State::Kept;
    }
    return isTimeOver_ && awaited_.empty() ? State::NotKept : State::Pending;
}

std::vector<Base::VmId> TurnWrite::askUntilEnough(Base::Instant now)
{
    std::vector<Base::VmId> result;
    const auto expected = [&] { return kept_.size() + awaited_.size() - slow_.size(); };
    while (expected() < settings_.copies && !candidates_.empty()) {
        const Base::VmId holder = candidates_.front();
        candidates_.erase(candidates_.begin());
        awaited_.insert(holder);
        askedAt_[holder] = now;
        result.push_back(holder);
    }
    if (expected() < settings_.copies && !nextRoundAt_) {
        planNextRound(now);
    }
    return result;
}

void TurnWrite::planNextRound(Base::Instant now)
{
    if (now + pause_ >= settings_.deadline) {
        isTimeOver_ = true;
        return;
    }
    nextRoundAt_ = now + pause_;
    pause_ = std::min(longestPause, 2 * pause_);
}

} // namespace TurnHistory
