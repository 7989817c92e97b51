#include "turncache.h"

#include <numeric>

namespace TurnHistory {

namespace {

/// Memory of an entry besides its content.
constexpr std::size_t entryOverhead = 300;

} // namespace

CachedTurn cachedTurn(Turn turn)
{
    return {std::move(turn.id),
            std::move(turn.previous),
            std::move(turn.team),
            std::move(turn.placementKey),
            std::make_shared<const std::string>(std::move(turn.content))};
}

void Chain::append(const CachedTurn &turn)
{
    if (contents.empty()) {
        team = turn.team;
        placementKey = turn.placementKey;
    }
    contents.push_back(turn.content);
    next = turn.previous;
}

std::size_t Chain::bytes() const
{
    return std::accumulate(contents.begin(),
                           contents.end(),
                           std::size_t(0),
                           [](std::size_t sum, const auto &each) { return sum + each->size(); });
}

std::string Chain::joined() const
{
    std::string result;
    result.reserve(bytes());
    for (auto content = contents.rbegin(); content != contents.rend(); ++content) {
        result += **content;
    }
    return result;
}

void TurnCache::add(const CachedTurn &turn)
{
    if (byId_.contains(turn.id)) {
        return;
    }
    entries_.push_front(turn);
    byId_.emplace(turn.id, entries_.begin());
    bytes_ += turn.content->size() + entryOverhead;
    while (bytes_ > maxBytes_) {
        bytes_ -= entries_.back().content->size() + entryOverhead;
        byId_.erase(entries_.back().id);
        entries_.pop_back();
    }
}

void TurnCache::extend(Chain &chain)
{
    while (!chain.next.isEmpty() && chain.contents.size() < maxChainTurns) {
        const auto known = byId_.find(chain.next);
        if (known == byId_.end()) {
            return;
        }
        entries_.splice(entries_.begin(), entries_, known->second);
        chain.append(entries_.front());
    }
}

} // namespace TurnHistory
