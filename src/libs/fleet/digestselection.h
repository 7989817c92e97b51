#pragma once

#include "member.h"

#include <vector>

namespace Fleet {

/// Chooses the digests of other daemons for a message: recent changes first, each repeated as often
/// as epidemic dissemination requires, then in a partial view all members round-robin.
class DigestSelection
{
public:
    explicit DigestSelection(std::size_t limit)
        : limit_(limit)
    {}

    /// Decrements the remaining transmissions of each chosen change.
    std::vector<DaemonDigest> choose(Members &members,
                                     const Base::IncarnationId &receiver,
                                     bool isPartialView);

private:
    static void addChanges(std::vector<DaemonDigest> &digests,
                           Members &members,
                           const Base::IncarnationId &receiver,
                           std::size_t limit);
    void addRoundRobin(std::vector<DaemonDigest> &digests,
                       const Members &members,
                       const Base::IncarnationId &receiver);

    std::size_t limit_;
    /// Last member that was sent round-robin.
    Base::IncarnationId cursor_;
};

} // namespace Fleet
