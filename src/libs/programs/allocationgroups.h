#pragma once

#include "tokenledger.h"

namespace Programs {

/// Programs whose claims are one object in the store.
using AllocationGroup = Base::StrongNumber<struct AllocationGroupTag, std::uint32_t>;

/// Version of a group's object; 0 stands for one that does not exist yet.
using GroupVersion = Base::StrongNumber<struct GroupVersionTag, std::uint64_t>;

/// The claims of one program and how long they are kept once nobody changes them.
struct GroupEntry
{
    StoredAllocations allocations;
    Base::Duration retention{};

    bool operator==(const GroupEntry &) const = default;
};

using GroupEntries = std::map<Base::ProgramId, GroupEntry>;

/// Write the group's object on the condition that it has this version.
struct WriteGroup
{
    AllocationGroup group;
    GroupVersion expected;
    GroupEntries entries;
};

struct GroupWritten
{
    GroupVersion version;
};

/// Another daemon has written; the object is as given.
struct GroupConflict
{
    GroupVersion version;
    GroupEntries entries;
};

/// No answer: the write may have been done, or may be done later.
struct GroupUnanswered
{};

using GroupOutcome = std::variant<GroupWritten, GroupConflict, GroupUnanswered>;

/// What became of the claim with that write id.
struct AnswerAllocation
{
    Base::ProgramId program;
    Base::WriteId writeId;
    AllocationOutcome outcome;
};

using AllocationGroupAction = std::variant<WriteGroup, AnswerAllocation>;

struct AllocationGroupSettings
{
    /// Groups of all programs, the same on every daemon. Fewer make fewer writes and put more
    /// programs on one home.
    std::uint32_t groups = 8;
    /// Longest time that a claim nobody waits for stays unwritten. A program's first turn runs on
    /// credit meanwhile; its second begins after some 300 ms.
    Base::Duration longestDelay = std::chrono::milliseconds(600);
    /// Entries are kept for this many retentions, as the daemon that counts them may have learnt of
    /// them late.
    int keptRetentions = 2;
};

/// Gathers claims of many programs into one conditional write of their group's object. Each claim
/// keeps its own condition: the version of its program's entry.
class AllocationGroups
{
public:
    explicit AllocationGroups(AllocationGroupSettings settings);

    AllocationGroup groupOf(const Base::ProgramId &program) const;

    /// Answered by one AnswerAllocation.
    void write(const WriteAllocation &allocation, Base::Instant now);
    /// A turn waits for the program's claim.
    void expedite(const Base::ProgramId &program, Base::Instant now);
    void groupAnswered(AllocationGroup group, const GroupOutcome &outcome, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<AllocationGroupAction> takeActions();

private:
    struct Group
    {
        /// The object as it was last written or read here.
        GroupVersion version;
        GroupEntries entries;
        /// When each entry was first seen as it is.
        std::map<Base::ProgramId, Base::Instant> seenAt;
        std::vector<WriteAllocation> queued;
        /// When the queue is written.
        std::optional<Base::Instant> due;
        /// The write under way and the claims in it.
        std::optional<WriteGroup> writing;
        std::vector<WriteAllocation> inWrite;
    };

    void dispatch(AllocationGroup number, Group &group, Base::Instant now);
    bool settleWithoutWrite(Group &group, const WriteAllocation &allocation);
    void replaceEntries(Group &group, GroupEntries entries, Base::Instant now) const;
    void forgetOld(Group &group, Base::Instant now) const;
    void answer(const WriteAllocation &allocation, const AllocationOutcome &outcome);

    AllocationGroupSettings settings_;
    std::map<AllocationGroup, Group> groups_;
    std::vector<AllocationGroupAction> actions_;
};

} // namespace Programs
