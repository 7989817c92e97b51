#include "assignmentplan.h"

#include <base/random.h>
#include <base/visitor.h>

#include <algorithm>
#include <map>

namespace Ownership {

namespace {

Base::PartitionId partitionAt(std::size_t index)
{
    return Base::PartitionId(static_cast<std::uint16_t>(index));
}

bool applyBootstrap(Assignment &assignment,
                    const Bootstrap &edit,
                    const std::vector<Candidate> &candidates)
{
    if (!assignment.entries.empty() || candidates.empty()) {
        return false;
    }
    LoadTable loads(assignment, candidates);
    for (std::size_t i = 0; i < edit.partitionCount; ++i) {
        const Base::IncarnationId owner = loads.leastLoaded(partitionAt(i));
        loads.add(owner);
        assignment.entries.push_back({owner, Base::Epoch(1), {}});
    }
    return true;
}

bool applyTakeOver(Assignment &assignment,
                   const TakeOver &edit,
                   const std::vector<Candidate> &candidates)
{
    std::vector<Candidate> others = candidates;
    std::erase_if(others,
                  [&](const Candidate &candidate) { return candidate.incarnation == edit.owner; });
    LoadTable loads(assignment, others);
    if (loads.isEmpty()) {
        return false;
    }
    bool isChanged = false;
    for (std::size_t i = 0; i < assignment.entries.size(); ++i) {
        PartitionEntry &entry = assignment.entries[i];
        if (entry.owner != edit.owner) {
            continue;
        }
        entry.predecessors.push_back({entry.owner, entry.epoch, std::nullopt});
        entry.owner = loads.leastLoaded(partitionAt(i));
        entry.epoch = entry.epoch.next();
        loads.add(entry.owner);
        isChanged = true;
    }
    return isChanged;
}

PartitionEntry *entryOf(Assignment &assignment, Base::PartitionId partition, const Owner &owner)
{
    if (partition.value() >= assignment.entries.size()) {
        return nullptr;
    }
    PartitionEntry &entry = assignment.entries[partition.value()];
    const bool isSame = entry.owner == owner.incarnation && entry.epoch == owner.epoch;
    return isSame ? &entry : nullptr;
}

bool applyHandOver(Assignment &assignment,
                   const HandOver &edit,
                   const std::vector<Candidate> &candidates)
{
    PartitionEntry *entry = entryOf(assignment, edit.partition, edit.from);
    const LoadTable loads(assignment, candidates);
    if (entry == nullptr || loads.isEmpty()) {
        return false;
    }
    if (edit.isAbsorbed) {
        entry->predecessors.clear();
    }
    entry->predecessors.push_back({entry->owner, entry->epoch, edit.releasedAt});
    entry->owner = loads.contains(edit.to) ? edit.to : loads.leastLoaded(edit.partition);
    entry->epoch = entry->epoch.next();
    return true;
}

bool applyAbsorb(Assignment &assignment, const Absorb &edit)
{
    PartitionEntry *entry = entryOf(assignment, edit.partition, edit.owner);
    if (entry == nullptr || entry->predecessors.empty()) {
        return false;
    }
    entry->predecessors.clear();
    return true;
}

/// The partition of `from` that `to` should have, by rendezvous hash.
std::size_t choosePartition(const std::vector<std::size_t> &partitions,
                            const Base::IncarnationId &to)
{
    const auto rank = [&](std::size_t index) { return Base::hash64(to.text(), index); };
    const auto best = std::ranges::min_element(partitions, {}, rank);
    return static_cast<std::size_t>(best - partitions.begin());
}

} // namespace

bool apply(Assignment &assignment,
           const AssignmentEdit &edit,
           const std::vector<Candidate> &candidates)
{
    return std::visit(
        Base::Visitor{[&](const Bootstrap &bootstrap) {
                          return applyBootstrap(assignment, bootstrap, candidates);
                      },
                      [&](const TakeOver &takeOver) {
                          return applyTakeOver(assignment, takeOver, candidates);
                      },
                      [&](const HandOver &handOver) {
                          return applyHandOver(assignment, handOver, candidates);
                      },
                      [&](const Absorb &absorb) { return applyAbsorb(assignment, absorb); }},
        edit);
}

std::vector<Move> planRebalance(const Assignment &assignment,
                                const std::vector<Candidate> &candidates)
{
    std::vector<Move> moves;
    LoadTable loads(assignment, candidates);
    if (loads.isEmpty()) {
        return moves;
    }
    std::map<Base::IncarnationId, std::vector<std::size_t>> owned;
    for (std::size_t i = 0; i < assignment.entries.size(); ++i) {
        owned[assignment.entries[i].owner].push_back(i);
    }
    while (true) {
        const std::vector<Base::IncarnationId> order = loads.byLoad();
        const Base::IncarnationId &from = order.back();
        const Base::IncarnationId &to = order.front();
        if (loads.loadOf(from) < loads.loadOf(to) + 2) {
            return moves;
        }
        std::vector<std::size_t> &partitions = owned[from];
        const std::size_t chosen = choosePartition(partitions, to);
        moves.push_back({partitionAt(partitions[chosen]), from, to});
        partitions.erase(partitions.begin() + static_cast<std::ptrdiff_t>(chosen));
        loads.remove(from);
        loads.add(to);
    }
}

} // namespace Ownership
