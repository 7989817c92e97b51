#include "allocationgroups.h"

#include <base/random.h>
#include <base/visitor.h>

#include <set>

namespace Programs {

AllocationGroups::AllocationGroups(AllocationGroupSettings settings)
    : settings_(settings)
{}

AllocationGroup AllocationGroups::groupOf(const Base::ProgramId &program) const
{
    return AllocationGroup(
        static_cast<std::uint32_t>(Base::hash64(program.text()) % settings_.groupCount));
}

void AllocationGroups::write(const WriteAllocation &allocation, Base::Instant now)
{
    const AllocationGroup number = groupOf(allocation.program);
    Group &group = groups_[number];
    group.queued.push_back(allocation);
    const Base::Instant due = allocation.isAwaited ? now : now + settings_.maxWriteDelay;
    group.due = group.due ? std::min(*group.due, due) : due;
    dispatch(number, group, now);
}

void AllocationGroups::expedite(const Base::ProgramId &program, Base::Instant now)
{
    const AllocationGroup number = groupOf(program);
    Group &group = groups_[number];
    if (!group.queued.empty()) {
        group.due = now;
        dispatch(number, group, now);
    }
}

void AllocationGroups::answer(const WriteAllocation &allocation, const AllocationOutcome &outcome)
{
    actions_.push_back(AnswerAllocation{allocation.program, allocation.writeId, outcome});
}

/// Returns false if the known entry does not contradict the allocation's expected version. An entry
/// older than expected is not a conflict: the object has changed since, which the write detects.
bool AllocationGroups::resolveWithoutWrite(Group &group, const WriteAllocation &allocation)
{
    const auto entry = group.entries.find(allocation.program);
    const StoredAllocations stored
        = entry == group.entries.end() ? StoredAllocations{} : entry->second.allocations;
    if (stored.version <= allocation.expected) {
        return false;
    }
    if (stored.lastWrite == allocation.writeId) {
        answer(allocation, AllocationWritten{stored.version});
    } else {
        answer(allocation, AllocationConflict{stored});
    }
    return true;
}

/// Writes the queue if it is due and no write is in flight.
void AllocationGroups::dispatch(AllocationGroup number, Group &group, Base::Instant now)
{
    if (group.writeInFlight || !group.due || now < *group.due) {
        return;
    }
    group.due.reset();
    std::erase_if(group.queued, [&](const WriteAllocation &allocation) {
        return resolveWithoutWrite(group, allocation);
    });
    if (group.queued.empty()) {
        return;
    }
    evictExpired(group, now);
    WriteGroup write{number, group.version, group.entries};
    std::set<Base::ProgramId> written;
    for (const WriteAllocation &allocation : std::exchange(group.queued, {})) {
        if (!written.insert(allocation.program).second) {
            // A relayed allocation of another daemon. Only one of the two can match the version.
            group.queued.push_back(allocation);
            group.due = now;
            continue;
        }
        group.allocationsInFlight.push_back(allocation);
        write.entries[allocation.program]
            = {{allocation.expected.next(), allocation.total, allocation.writeId},
               allocation.retention};
    }
    group.writeInFlight = write;
    actions_.push_back(std::move(write));
}

void AllocationGroups::replaceEntries(Group &group,
                                      AllocationEntries entries,
                                      Base::Instant now) const
{
    std::map<Base::ProgramId, Base::Instant> seenAt;
    for (const auto &[program, entry] : entries) {
        const auto known = group.entries.find(program);
        const bool isSame = known != group.entries.end() && known->second == entry;
        seenAt[program] = isSame ? group.seenAt.at(program) : now;
    }
    group.entries = std::move(entries);
    group.seenAt = std::move(seenAt);
}

void AllocationGroups::evictExpired(Group &group, Base::Instant now) const
{
    std::erase_if(group.entries, [&](const auto &entry) {
        const Base::Duration kept = settings_.retentionFactor * entry.second.retention;
        return now - group.seenAt.at(entry.first) > kept;
    });
}

void AllocationGroups::groupAnswered(AllocationGroup number,
                                     const GroupOutcome &outcome,
                                     Base::Instant now)
{
    Group &group = groups_[number];
    if (!group.writeInFlight) {
        return;
    }
    const WriteGroup write = *std::exchange(group.writeInFlight, std::nullopt);
    const std::vector<WriteAllocation> allocations = std::exchange(group.allocationsInFlight, {});
    std::visit(Base::Visitor{[&](const GroupWritten &written) {
                                 group.version = written.version;
                                 replaceEntries(group, write.entries, now);
                                 for (const WriteAllocation &allocation : allocations) {
                                     answer(allocation,
                                            AllocationWritten{allocation.expected.next()});
                                 }
                             },
                             [&](const GroupConflict &conflict) {
                                 group.version = conflict.version;
                                 replaceEntries(group, conflict.entries, now);
                                 for (const WriteAllocation &allocation : allocations) {
                                     const auto entry = group.entries.find(allocation.program);
                                     const bool isKnown = entry != group.entries.end();
                                     const AllocationVersion version
                                         = isKnown ? entry->second.allocations.version
                                                   : AllocationVersion();
                                     if (version < allocation.expected) {
                                         // Evicted in the meantime, after its retention.
                                         answer(allocation, AllocationConflict{});
                                     } else if (!resolveWithoutWrite(group, allocation)) {
                                         group.queued.push_back(allocation);
                                         group.due = now;
                                     }
                                 }
                             },
                             [&](const GroupUnanswered &) {
                                 std::vector<WriteAllocation> all = allocations;
                                 all.insert(all.end(), group.queued.begin(), group.queued.end());
                                 group.queued.clear();
                                 group.due.reset();
                                 for (const WriteAllocation &allocation : all) {
                                     answer(allocation, AllocationUnanswered{});
                                 }
                             }},
               outcome);
    dispatch(number, group, now);
}

void AllocationGroups::tick(Base::Instant now)
{
    for (auto &[number, group] : groups_) {
        dispatch(number, group, now);
    }
}

std::optional<Base::Instant> AllocationGroups::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    for (const auto &[number, group] : groups_) {
        if (group.due && !group.writeInFlight) {
            next = next ? std::min(*next, *group.due) : *group.due;
        }
    }
    return next;
}

std::vector<AllocationGroupAction> AllocationGroups::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
