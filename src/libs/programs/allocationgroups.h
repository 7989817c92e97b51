#pragma once

#include "tokenledger.h"

namespace Programs {

/// Number of a group of programs whose allocations are stored in one object.
using AllocationGroup = Base::StrongNumber<struct AllocationGroupTag, std::uint32_t>;

/// Version of a group's object; 0 if it does not exist yet.
using GroupVersion = Base::StrongNumber<struct GroupVersionTag, std::uint64_t>;

/// Allocations of one program, and how long they are kept unchanged.
struct AllocationEntry
{
    StoredAllocations allocations;
    Base::Duration retention{};

    bool operator==(const AllocationEntry &) const = default;
};

using AllocationEntries = std::map<Base::ProgramId, AllocationEntry>;

/// Writes the group's object if it still has the expected version.
struct WriteGroup
{
    AllocationGroup group;
    GroupVersion expected;
    AllocationEntries entries;
};

struct GroupWritten
{
    GroupVersion version;
};

/// Another daemon has written in the meantime; holds the stored object.
struct GroupConflict
{
    GroupVersion version;
    AllocationEntries entries;
};

/// No response: the write may have been executed, or may be executed later.
struct GroupUnanswered
{};

using GroupOutcome = std::variant<GroupWritten, GroupConflict, GroupUnanswered>;

/// Outcome of the allocation with that write id.
struct AnswerAllocation
{
    Base::ProgramId program;
    Base::WriteId writeId;
    AllocationOutcome outcome;
};

using AllocationGroupAction = std::variant<WriteGroup, AnswerAllocation>;

struct AllocationGroupSettings
{
    /// Number of groups; must be the same on every daemon. Fewer groups need fewer writes, but
    /// put more programs on one coordinator.
    std::uint32_t groupCount = 8;
    /// Maximum time before an allocation without a waiting turn is written. Until then a program's
    /// first turn overdraws its allocation; its second turn begins after about 300 ms.
    Base::Duration maxWriteDelay = std::chrono::milliseconds(600);
    /// Entries are kept for this multiple of their retention, as the daemon that measures it may
    /// have learned of the entry late.
    int retentionFactor = 2;
};

/// Combines allocations of many programs into one conditional write of their group's object. Each
/// allocation is also conditional on the version of its program's entry.
class AllocationGroups
{
public:
    explicit AllocationGroups(AllocationGroupSettings settings);

    AllocationGroup groupOf(const Base::ProgramId &program) const;

    /// Leads to one AnswerAllocation.
    void write(const WriteAllocation &allocation, Base::Instant now);
    /// Writes the program's group now, as a turn waits for the allocation.
    void expedite(const Base::ProgramId &program, Base::Instant now);
    void groupAnswered(AllocationGroup group, const GroupOutcome &outcome, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<AllocationGroupAction> takeActions();

private:
    struct Group
    {
        /// The object as last written or read by this daemon.
        GroupVersion version;
        AllocationEntries entries;
        /// Time when each entry was first seen in its current state.
        std::map<Base::ProgramId, Base::Instant> seenAt;
        std::vector<WriteAllocation> queued;
        /// Time when the queue is written.
        std::optional<Base::Instant> due;
        /// The write in flight and the allocations that it contains.
        std::optional<WriteGroup> writeInFlight;
        std::vector<WriteAllocation> allocationsInFlight;
    };

    void dispatch(AllocationGroup number, Group &group, Base::Instant now);
    bool resolveWithoutWrite(Group &group, const WriteAllocation &allocation);
    void replaceEntries(Group &group, AllocationEntries entries, Base::Instant now) const;
    void evictExpired(Group &group, Base::Instant now) const;
    void answer(const WriteAllocation &allocation, const AllocationOutcome &outcome);

    AllocationGroupSettings settings_;
    std::map<AllocationGroup, Group> groups_;
    std::vector<AllocationGroupAction> actions_;
};

} // namespace Programs
