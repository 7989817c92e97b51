#include "chainsearch.h"

#include <algorithm>

namespace TurnHistory {

ChainSearch::ChainSearch(std::vector<Base::VmId> ranked, std::size_t copies)
    : ranked_(std::move(ranked))
    , copies_(copies)
{
    for (const Base::VmId &holder : ranked_) {
        answers_.emplace(holder, Answer::NotAsked);
    }
}

std::size_t ChainSearch::count(Answer answer) const
{
    return static_cast<std::size_t>(std::count_if(
        answers_.begin(), answers_.end(), [&](const auto &each) { return each.second == answer; }));
}

std::vector<Base::VmId> ChainSearch::askNext(std::size_t count)
{
    std::vector<Base::VmId> result;
    for (const Base::VmId &holder : ranked_) {
        if (result.size() == count) {
            break;
        }
        if (answers_[holder] == Answer::NotAsked) {
            answers_[holder] = Answer::Awaited;
            result.push_back(holder);
        }
    }
    return result;
}

std::vector<Base::VmId> ChainSearch::start()
{
    return askNext(1);
}

/// Asks the first holders one after another, as one of them usually has the turn, then the rest
/// together.
std::vector<Base::VmId> ChainSearch::advance()
{
    if (isFound_ || count(Answer::Awaited) > 0) {
        return {};
    }
    const std::size_t asked = ranked_.size() - count(Answer::NotAsked);
    return askNext(asked < copies_ ? 1 : ranked_.size());
}

std::vector<Base::VmId> ChainSearch::onAbsent(const Base::VmId &holder, bool isSynchronized)
{
    if (const auto entry = answers_.find(holder); entry != answers_.end()) {
        entry->second = isSynchronized ? Answer::Absent : Answer::Inconclusive;
    }
    return advance();
}

std::vector<Base::VmId> ChainSearch::onFailed(const Base::VmId &holder)
{
    if (const auto entry = answers_.find(holder); entry != answers_.end()) {
        entry->second = Answer::Failed;
    }
    return advance();
}

std::vector<Base::VmId> ChainSearch::onSlow()
{
    return isFound_ ? std::vector<Base::VmId>{} : askNext(1);
}

void ChainSearch::onFound()
{
    isFound_ = true;
}

/// A holder that was removed meanwhile may have had the turn when those that hold its copies now
/// answered, so it stays left out; the next search does without it.
std::vector<Base::VmId> ChainSearch::onRegistered(const std::vector<Base::VmId> &holders)
{
    for (auto &[holder, answer] : answers_) {
        const bool isRemoved = std::find(holders.begin(), holders.end(), holder) == holders.end();
        if (isRemoved && answer != Answer::Absent) {
            answer = Answer::Failed;
        }
    }
    for (const Base::VmId &holder : holders) {
        answers_.emplace(holder, Answer::NotAsked);
    }
    ranked_ = holders;
    return askNext(ranked_.size());
}

/// The turn was written to \a copies disks at once. If fewer holders than that are left out, one of
/// those that answered would have it.
SearchState ChainSearch::state() const
{
    if (isFound_) {
        return SearchState::Found;
    }
    if (count(Answer::Awaited) > 0 || count(Answer::NotAsked) > 0) {
        return SearchState::Pending;
    }
    const std::size_t leftOut = answers_.size() - count(Answer::Absent);
    return !ranked_.empty() && leftOut < copies_ ? SearchState::Absent : SearchState::Unknown;
}

} // namespace TurnHistory
