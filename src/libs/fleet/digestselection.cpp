#include "digestselection.h"

#include <algorithm>
#include <functional>

namespace Fleet {

std::vector<DaemonDigest> DigestSelection::choose(Members &members,
                                                  const Base::IncarnationId &receiver,
                                                  bool isPartialView)
{
    std::vector<DaemonDigest> digests;
    // One digest is reserved for the round-robin, regardless of the number of changes.
    addChanges(digests, members, receiver, isPartialView ? limit_ - 1 : limit_);
    if (isPartialView) {
        addRoundRobin(digests, members, receiver);
    }
    return digests;
}

void DigestSelection::addChanges(std::vector<DaemonDigest> &digests,
                                 Members &members,
                                 const Base::IncarnationId &receiver,
                                 std::size_t limit)
{
    std::vector<Member *> changed;
    for (auto &[incarnation, member] : members) {
        // A suspect receives the suspicion, so that it can refute it.
        const bool isRelevant
            = incarnation != receiver || member.daemon.state == DaemonState::Suspect;
        if (member.transmissionsLeft > 0 && member.hasJoined && isRelevant) {
            changed.push_back(&member);
        }
    }
    // Newest first: the changes that were sent least often have the most transmissions left.
    std::ranges::stable_sort(changed, std::greater(), &Member::transmissionsLeft);
    changed.resize(std::min(changed.size(), limit));
    for (Member *member : changed) {
        --member->transmissionsLeft;
        digests.push_back({member->daemon, member->sequence});
    }
}

void DigestSelection::addRoundRobin(std::vector<DaemonDigest> &digests,
                                    const Members &members,
                                    const Base::IncarnationId &receiver)
{
    // The round-robin over all members reaches daemons that missed a change.
    for (std::size_t i = 0; i < members.size() && digests.size() < limit_; ++i) {
        auto next = members.upper_bound(cursor_);
        if (next == members.end()) {
            next = members.begin();
        }
        cursor_ = next->first;
        const Member &member = next->second;
        if (member.hasJoined && isReachable(member) && next->first != receiver) {
            digests.push_back({member.daemon, member.sequence});
        }
    }
}

} // namespace Fleet
