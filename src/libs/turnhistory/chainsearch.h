#pragma once

#include "turncodec.h"

#include <map>
#include <vector>

namespace TurnHistory {

/// What is known about a chain after the search.
enum class LookupResult {
    Found,
    /// It is certain that the turn does not exist.
    Absent,
    /// The turn may exist.
    Unavailable
};

enum class SearchState {
    /// Responses are awaited.
    Pending,
    Found,
    /// No registered holder has the turn. Final only if the holders were registered as given after
    /// the search began.
    Absent,
    /// The turn may exist on a holder that did not respond.
    Unknown
};

/// Decides which holders to ask for a turn, and when it is certain that the turn does not exist.
class ChainSearch
{
public:
    /// \a ranked are all registered holders, in the order in which to ask them.
    ChainSearch(std::vector<Base::VmId> ranked, std::size_t copies);

    /// Returns the holders to ask now: initially the first. Once all of the first \a copies have
    /// responded or failed, all others.
    std::vector<Base::VmId> start();
    std::vector<Base::VmId> onAbsent(const Base::VmId &holder, bool isSynchronized);
    std::vector<Base::VmId> onFailed(const Base::VmId &holder);
    /// No response has arrived for a while: asks one more holder.
    std::vector<Base::VmId> onSlow();
    void onFound();
    /// Replaces the registered holders and returns those to ask that were not asked before.
    std::vector<Base::VmId> onRegistered(const std::vector<Base::VmId> &holders);

    SearchState state() const;

private:
    enum class Answer {
        NotAsked,
        Awaited,
        Absent,
        /// Absent on a disk that may lack turns.
        Inconclusive,
        Failed
    };

    std::vector<Base::VmId> askNext(std::size_t count);
    std::vector<Base::VmId> advance();
    std::size_t count(Answer answer) const;

    std::vector<Base::VmId> ranked_;
    std::map<Base::VmId, Answer> answers_;
    std::size_t copies_;
    bool isFound_ = false;
};

} // namespace TurnHistory
