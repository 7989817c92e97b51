#include "digestselection.h"

namespace Fleet {

std::vector<DaemonDigest> DigestSelection::choose(Members &members,
                                                  const Base::IncarnationId &receiver,
                                                  bool isPartialView)
{
    std::vector<DaemonDigest> digests;
    addChanges(digests, members, receiver);
    if (isPartialView) {
        addBackground(digests, members, receiver);
    }
    return digests;
}

void DigestSelection::addChanges(std::vector<DaemonDigest> &digests,
                                 Members &members,
                                 const Base::IncarnationId &receiver) const
{
    for (auto &[incarnation, member] : members) {
        if (digests.size() >= limit_) {
            return;
        }
        if (member.transmissionsLeft > 0 && incarnation != receiver && member.hasJoined) {
            --member.transmissionsLeft;
            digests.push_back({member.daemon, member.sequence});
        }
    }
}

void DigestSelection::addBackground(std::vector<DaemonDigest> &digests,
                                    const Members &members,
                                    const Base::IncarnationId &receiver)
{
    // A daemon that missed a change learns of it at last, because everyone is repeated in turn.
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
