#include "assignmentplan.h"

#include <base/random.h>
#include <base/visitor.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

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

PartitionEntry *findEntry(Assignment &assignment, Base::PartitionId partition, const Owner &owner)
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
    PartitionEntry *entry = findEntry(assignment, edit.partition, edit.from);
    if (entry == nullptr || candidates.empty()) {
        return false;
    }
    const bool isCandidate
        = std::ranges::find(candidates, edit.to, &Candidate::incarnation) != candidates.end();
    const Base::IncarnationId to
        = isCandidate ? edit.to : LoadTable(assignment, candidates).leastLoaded(edit.partition);
    if (edit.arePredecessorsObsolete) {
        entry->predecessors.clear();
    }
    entry->predecessors.push_back({entry->owner, entry->epoch, edit.releasedAt});
    entry->owner = to;
    entry->epoch = entry->epoch.next();
    return true;
}

bool applyDropPredecessors(Assignment &assignment, const DropPredecessors &edit)
{
    PartitionEntry *entry = findEntry(assignment, edit.partition, edit.owner);
    if (entry == nullptr || entry->predecessors.empty()) {
        return false;
    }
    entry->predecessors.clear();
    return true;
}

/// Index of the partition to move to the daemon, by rendezvous hash.
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
    return std::visit(Base::Visitor{[&](const Bootstrap &bootstrap) {
                                        return applyBootstrap(assignment, bootstrap, candidates);
                                    },
                                    [&](const TakeOver &takeOver) {
                                        return applyTakeOver(assignment, takeOver, candidates);
                                    },
                                    [&](const HandOver &handOver) {
                                        return applyHandOver(assignment, handOver, candidates);
                                    },
                                    [&](const DropPredecessors &drop) {
                                        return applyDropPredecessors(assignment, drop);
                                    }},
                      edit);
}

std::vector<Move> planRebalance(const Assignment &assignment,
                                const std::vector<Candidate> &candidates)
{
    std::vector<Move> moves;
    if (candidates.empty()) {
        return moves;
    }
    std::map<Base::IncarnationId, std::vector<std::size_t>> owned;
    for (std::size_t i = 0; i < assignment.entries.size(); ++i) {
        owned[assignment.entries[i].owner].push_back(i);
    }
    std::set<std::pair<std::size_t, Base::IncarnationId>> byLoad;
    for (const Candidate &candidate : candidates) {
        byLoad.emplace(owned[candidate.incarnation].size(), candidate.incarnation);
    }
    while (std::prev(byLoad.end())->first >= byLoad.begin()->first + 2) {
        auto most = byLoad.extract(std::prev(byLoad.end()));
        auto least = byLoad.extract(byLoad.begin());
        const Base::IncarnationId &from = most.value().second;
        const Base::IncarnationId &to = least.value().second;
        std::vector<std::size_t> &partitions = owned[from];
        const std::size_t chosen = choosePartition(partitions, to);
        moves.push_back({partitionAt(partitions[chosen]), from, to});
        partitions.erase(partitions.begin() + static_cast<std::ptrdiff_t>(chosen));
        --most.value().first;
        ++least.value().first;
        byLoad.insert(std::move(most));
        byLoad.insert(std::move(least));
    }
    return moves;
}

} // namespace Ownership
