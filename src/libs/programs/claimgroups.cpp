#include "claimgroups.h"

#include <base/random.h>
#include <base/visitor.h>

#include <set>

namespace Programs {

ClaimGroups::ClaimGroups(ClaimGroupSettings settings)
    : settings_(settings)
{}

ClaimGroup ClaimGroups::groupOf(const Base::ProgramId &program) const
{
    return ClaimGroup(static_cast<std::uint32_t>(Base::hash64(program.text()) % settings_.groups));
}

void ClaimGroups::write(const WriteClaim &claim, Base::Instant now)
{
    const ClaimGroup number = groupOf(claim.program);
    Group &group = groups_[number];
    group.queued.push_back(claim);
    const Base::Instant due = claim.isAwaited ? now : now + settings_.longestDelay;
    group.due = group.due ? std::min(*group.due, due) : due;
    dispatch(number, group, now);
}

void ClaimGroups::hurry(const Base::ProgramId &program, Base::Instant now)
{
    const ClaimGroup number = groupOf(program);
    Group &group = groups_[number];
    if (!group.queued.empty()) {
        group.due = now;
        dispatch(number, group, now);
    }
}

void ClaimGroups::answer(const WriteClaim &claim, const ClaimOutcome &outcome)
{
    actions_.push_back(AnswerClaim{claim.program, claim.writeId, outcome});
}

/// Returns false if the claim's condition holds, as far as is known here. An entry that is older
/// than the claim expects is no conflict: the object has changed since, and the write will tell.
bool ClaimGroups::settleWithoutWrite(Group &group, const WriteClaim &claim)
{
    const auto entry = group.entries.find(claim.program);
    const StoredClaims stored
        = entry == group.entries.end() ? StoredClaims{} : entry->second.claims;
    if (stored.version <= claim.expected) {
        return false;
    }
    if (stored.lastWrite == claim.writeId) {
        answer(claim, ClaimWritten{stored.version});
    } else {
        answer(claim, ClaimConflict{stored});
    }
    return true;
}

/// Writes what is queued if it is due and no write is under way.
void ClaimGroups::dispatch(ClaimGroup number, Group &group, Base::Instant now)
{
    if (group.writing || !group.due || now < *group.due) {
        return;
    }
    group.due.reset();
    std::erase_if(group.queued,
                  [&](const WriteClaim &claim) { return settleWithoutWrite(group, claim); });
    if (group.queued.empty()) {
        return;
    }
    forgetOld(group, now);
    WriteGroup write{number, group.version, group.entries};
    std::set<Base::ProgramId> written;
    for (const WriteClaim &claim : std::exchange(group.queued, {})) {
        if (!written.insert(claim.program).second) {
            // Another daemon's claim, written for it; only one of both can have its condition.
            group.queued.push_back(claim);
            group.due = now;
            continue;
        }
        group.inWrite.push_back(claim);
        write.entries[claim.program]
            = {{claim.expected.next(), claim.total, claim.writeId}, claim.retention};
    }
    group.writing = write;
    actions_.push_back(std::move(write));
}

void ClaimGroups::replaceEntries(Group &group, GroupEntries entries, Base::Instant now) const
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

void ClaimGroups::forgetOld(Group &group, Base::Instant now) const
{
    std::erase_if(group.entries, [&](const auto &entry) {
        const Base::Duration kept = settings_.keptRetentions * entry.second.retention;
        return now - group.seenAt.at(entry.first) > kept;
    });
}

void ClaimGroups::groupAnswered(ClaimGroup number, const GroupOutcome &outcome, Base::Instant now)
{
    Group &group = groups_[number];
    if (!group.writing) {
        return;
    }
    const WriteGroup write = *std::exchange(group.writing, std::nullopt);
    const std::vector<WriteClaim> claims = std::exchange(group.inWrite, {});
    std::visit(Base::Visitor{[&](const GroupWritten &written) {
                                 group.version = written.version;
                                 replaceEntries(group, write.entries, now);
                                 for (const WriteClaim &claim : claims) {
                                     answer(claim, ClaimWritten{claim.expected.next()});
                                 }
                             },
                             [&](const GroupConflict &conflict) {
                                 group.version = conflict.version;
                                 replaceEntries(group, conflict.entries, now);
                                 for (const WriteClaim &claim : claims) {
                                     const auto entry = group.entries.find(claim.program);
                                     const bool isKnown = entry != group.entries.end();
                                     const ClaimVersion version
                                         = isKnown ? entry->second.claims.version : ClaimVersion();
                                     if (version < claim.expected) {
                                         // Forgotten meanwhile, as nobody had changed it for long.
                                         answer(claim, ClaimConflict{});
                                     } else if (!settleWithoutWrite(group, claim)) {
                                         group.queued.push_back(claim);
                                         group.due = now;
                                     }
                                 }
                             },
                             [&](const GroupUnanswered &) {
                                 std::vector<WriteClaim> all = claims;
                                 all.insert(all.end(), group.queued.begin(), group.queued.end());
                                 group.queued.clear();
                                 group.due.reset();
                                 for (const WriteClaim &claim : all) {
                                     answer(claim, ClaimUnanswered{});
                                 }
                             }},
               outcome);
    dispatch(number, group, now);
}

void ClaimGroups::tick(Base::Instant now)
{
    for (auto &[number, group] : groups_) {
        dispatch(number, group, now);
    }
}

std::optional<Base::Instant> ClaimGroups::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    for (const auto &[number, group] : groups_) {
        if (group.due && !group.writing) {
            next = next ? std::min(*next, *group.due) : *group.due;
        }
    }
    return next;
}

std::vector<ClaimGroupAction> ClaimGroups::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
