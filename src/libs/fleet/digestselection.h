#pragma once

#include "member.h"

#include <vector>

namespace Fleet {

/// Chooses what a message tells about other daemons: changes first, as often as an epidemic
/// needs, then in a partial view everyone in turn.
class DigestSelection
{
public:
    explicit DigestSelection(std::size_t limit)
        : limit_(limit)
    {}

    /// Counts each chosen change as sent once.
    std::vector<DaemonDigest> choose(Members &members,
                                     const Base::IncarnationId &receiver,
                                     bool isPartialView);

private:
    static void addChanges(std::vector<DaemonDigest> &digests,
                           Members &members,
                           const Base::IncarnationId &receiver,
                           std::size_t limit);
    void addBackground(std::vector<DaemonDigest> &digests,
                       const Members &members,
                       const Base::IncarnationId &receiver);

    std::size_t limit_;
    /// Last member that was sent in turn.
    Base::IncarnationId cursor_;
};

} // namespace Fleet
