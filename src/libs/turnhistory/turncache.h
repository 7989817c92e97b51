#pragma once

#include "turn.h"

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace TurnHistory {

/// A turn whose content is shared with the chains that include it.
struct CachedTurn
{
    TurnId id;
    TurnId previous;
    Base::TeamId team;
    std::string placementKey;
    std::shared_ptr<const std::string> content;
};

CachedTurn cachedTurn(Turn turn);

/// Limit on the turns of a chain; programs have up to 530. Ends the walk along damaged records that
/// refer to each other.
constexpr std::size_t maxChainTurns = 10'000;

/// The part of a chain that was collected so far, from its newest turn on.
struct Chain
{
    Base::TeamId team;
    /// Placement key of the newest turn, which its successors inherit.
    std::string placementKey;
    /// Contents of the turns, newest first.
    std::vector<std::shared_ptr<const std::string>> contents;
    /// The next older turn to collect; empty if the chain is complete.
    TurnId next;

    void append(const CachedTurn &turn);
    bool isComplete() const { return next.isEmpty(); }
    std::size_t bytes() const;
    /// The contents, oldest first.
    std::string joined() const;
};

/// Recent turns in memory, limited in size; the least recently used ones are removed first.
class TurnCache
{
public:
    explicit TurnCache(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {}

    void add(const CachedTurn &turn);
    /// Appends cached turns to the chain, from chain.next on.
    void extend(Chain &chain);

    std::size_t bytes() const { return bytes_; }

private:
    std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    /// Most recently used first.
    std::list<CachedTurn> entries_;
    std::unordered_map<TurnId, std::list<CachedTurn>::iterator> byId_;
};

} // namespace TurnHistory
