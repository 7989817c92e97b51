#include "programtable_p.h"
#include "refusals.h"

#include <base/visitor.h>

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Results of journal appends, and acquisition, recovery and loss of partitions.

void ProgramTable::Private::committed(Journal::Ticket ticket, Base::Instant now)
{
    const auto found = appends_.find(ticket);
    if (found == appends_.end()) {
        return;
    }
    const Append append = std::move(found->second);
    appends_.erase(found);
    std::visit(Base::Visitor{
                   [&](const CreateAppend &creation) { creationCommitted(creation, now); },
                   [&](const IntentAppend &intent) {
                       intentCommitted(*find(intent.program), intent.intent, now);
                   },
                   [&](const ResultAppend &result) { resultCommitted(*find(result.program), now); },
                   [&](const EndAppend &end) { endCommitted(end.program, now); }},
               append);
    rescheduleOf(append);
}

void ProgramTable::Private::appendRefused(Journal::Ticket ticket,
                                          const Base::Error &error,
                                          Base::Instant now)
{
    const auto found = appends_.find(ticket);
    if (found == appends_.end()) {
        return;
    }
    const Append append = std::move(found->second);
    appends_.erase(found);
    const Base::Instant retryAt = now + limits_.appendRetryDelay;
    std::visit(
        Base::Visitor{
            [&](const CreateAppend &creation) { creationRefused(creation, error, now); },
            [&](const IntentAppend &intent) { intentRefused(*find(intent.program), error, now); },
            [&](const ResultAppend &result) {
                find(result.program)->active->appendRetryAt = retryAt;
            },
            [&](const EndAppend &end) { find(end.program)->endAppendRetryAt = retryAt; }},
        append);
    rescheduleOf(append);
}

const Base::ProgramId &ProgramTable::Private::programOf(const Append &append)
{
    return std::visit(
        Base::Visitor{[](const CreateAppend &creation) -> const Base::ProgramId & {
                          return creation.created.program;
                      },
                      [](const auto &other) -> const Base::ProgramId & { return other.program; }},
        append);
}

void ProgramTable::Private::rescheduleOf(const Append &append)
{
    const Base::ProgramId &program = programOf(append);
    if (ProgramEntry *entry = find(program)) {
        reschedule(*entry);
    }
    // A refused creation may have been the last one that a parent's end waited for.
    const auto *creation = std::get_if<CreateAppend>(&append);
    ProgramEntry *parent
        = creation && creation->created.parent ? find(*creation->created.parent) : nullptr;
    if (parent) {
        reschedule(*parent);
    }
}

// Recovery

void ProgramTable::Private::acquire(Base::PartitionId partition)
{
    const auto [state, isNew] = partitions_.emplace(partition, PartitionState::Recovering);
    if (!isNew && state->second == PartitionState::Leaving) {
        state->second = PartitionState::Serving;
    }
}

void ProgramTable::Private::restore(const ProgramSnapshot &snapshot, Base::Instant now)
{
    const Base::ProgramId &id = snapshot.created.program;
    const auto partition = partitions_.find(partitionOf(id));
    if (partition == partitions_.end() || partition->second != PartitionState::Recovering) {
        return;
    }
    ProgramEntry &entry
        = entries_.insert_or_assign(id, ProgramEntry(Program(snapshot))).first->second;
    entry.lastActivity = now;
}

void ProgramTable::Private::replay(Base::PartitionId partition,
                                   std::span<const Journal::Record> records)
{
    const auto state = partitions_.find(partition);
    if (state == partitions_.end() || state->second != PartitionState::Recovering) {
        return;
    }
    for (const Journal::Record &record : records) {
        if (record.partition == partition) {
            replay(record.body);
        }
    }
}

void ProgramTable::Private::recover(Base::PartitionId partition,
                                    std::span<const Journal::Record> records,
                                    std::span<const Journal::Record> uncertain,
                                    Base::Instant now)
{
    const auto state = partitions_.find(partition);
    if (state == partitions_.end() || state->second != PartitionState::Recovering) {
        return;
    }
    replay(partition, records);
    state->second = PartitionState::Serving;
    for (const Base::ProgramId &id : programs(partition)) {
        historyBytes_ += find(id)->program.historyBytes();
        dropIfEnded(id, now);
    }
    for (const Journal::Record &record : uncertain) {
        if (record.partition == partition) {
            replayUncertain(record.body, now);
        }
    }
    // All open calls are resolved before the first end, as ending a parent ends its children.
    for (const Base::ProgramId &id : programs(partition)) {
        resolveOpenIntent(*find(id), now);
    }
    for (const Base::ProgramId &id : programs(partition)) {
        endIfKeyIsWithdrawn(*find(id), now);
    }
}

void ProgramTable::Private::replay(const Journal::ProgramRecord &record)
{
    const auto applyTo = [this](const Base::ProgramId &id, const auto &change) {
        if (ProgramEntry *entry = find(id)) {
            entry->program.apply(change);
        }
    };
    std::visit(
        Base::Visitor{[this](const Journal::ProgramCreated &created) {
                          entries_.try_emplace(created.program, Program(created));
                      },
                      [&](const Journal::ChildReserved &child) { applyTo(child.parent, child); },
                      [&](const Journal::ChildSettled &child) { applyTo(child.parent, child); },
                      [&](const Journal::CallIntent &change) { applyTo(change.program, change); },
                      [&](const Journal::CallResult &change) { applyTo(change.program, change); },
                      [&](const Journal::ProgramEnded &change) { applyTo(change.program, change); },
                      // The journal's replay applies adoption records and records about partitions.
                      [](const auto &) {}},
        record);
}

/// Only intents matter: uncertain results are covered by their committed intents, and uncertain
/// creations and ends were not acknowledged to callers.
void ProgramTable::Private::replayUncertain(const Journal::ProgramRecord &record, Base::Instant now)
{
    const auto *intent = std::get_if<Journal::CallIntent>(&record);
    ProgramEntry *entry = intent ? find(intent->program) : nullptr;
    const bool isOpen = entry && !intent->isIdempotent && !entry->program.openIntent()
                        && intent->number == entry->program.nextNumber() && !entry->active;
    if (isOpen) {
        resolveIntent(*entry, *intent, true, now);
    }
}

/// The previous owner may have committed the end without releasing the engines' memory.
void ProgramTable::Private::dropIfEnded(const Base::ProgramId &program, Base::Instant now)
{
    ProgramEntry &entry = *find(program);
    if (!entry.program.endReason()) {
        return;
    }
    entry.endReason = entry.program.endReason();
    rememberEnded(entry, now);
    erase(program);
    emit(ReleaseEngineMemory{program});
}

void ProgramTable::Private::resolveOpenIntent(ProgramEntry &entry, Base::Instant now)
{
    entry.lastActivity = now;
    if (entry.program.openIntent()) {
        resolveIntent(entry, *entry.program.openIntent(), false, now);
    }
}

void ProgramTable::Private::endIfKeyIsWithdrawn(ProgramEntry &entry, Base::Instant now)
{
    if (withdrawnKeys_.contains(entry.program.created().key)) {
        requestEnd(entry, Journal::EndReason::KeyWithdrawn, now);
    }
    reschedule(entry);
}

/// Records that a call without a result may have run. The callers are answered after the commit.
void ProgramTable::Private::resolveIntent(ProgramEntry &entry,
                                          const Journal::CallIntent &intent,
                                          bool isUncertain,
                                          Base::Instant now)
{
    ActiveCall active;
    SubmitCall &request = active.call.request;
    request.program = intent.program;
    request.number = intent.number;
    request.bodyHash = intent.bodyHash;
    request.service = intent.service;
    request.input = intent.input;
    active.call.arrivedAt = now;
    // All reserved tokens may have been consumed.
    active.promptBound = intent.reserved;
    if (isUncertain) {
        active.uncertainIntent = intent;
    }
    entry.active = std::move(active);
    recordError(entry, ownerLost({}), now);
}

// Loss

void ProgramTable::Private::leave(Base::PartitionId partition)
{
    const auto state = partitions_.find(partition);
    if (state != partitions_.end() && state->second == PartitionState::Serving) {
        state->second = PartitionState::Leaving;
    }
}

void ProgramTable::Private::lose(Base::PartitionId partition)
{
    loseAppends(partition);
    const auto state = partitions_.find(partition);
    const bool isCounted
        = state != partitions_.end() && state->second != PartitionState::Recovering;
    for (const Base::ProgramId &id : programs(partition)) {
        loseProgram(*find(id));
        // Histories are only counted once the recovery has ended.
        if (!isCounted) {
            historyBytes_ += find(id)->program.historyBytes();
        }
        erase(id);
    }
    std::erase_if(ended_, [&](const auto &ended) { return partitionOf(ended.first) == partition; });
    partitions_.erase(partition);
}

void ProgramTable::Private::loseAll()
{
    std::vector<Base::PartitionId> owned;
    for (const auto &[partition, state] : partitions_) {
        owned.push_back(partition);
    }
    std::ranges::sort(owned);
    for (const Base::PartitionId partition : owned) {
        lose(partition);
    }
}

void ProgramTable::Private::loseAppends(Base::PartitionId partition)
{
    const auto isLost
        = [&](const auto &pending) { return partitionOf(programOf(pending.second)) == partition; };
    std::vector<Base::RequestId> createRequests;
    for (const auto &pending : appends_) {
        const auto *creation = std::get_if<CreateAppend>(&pending.second);
        if (creation && creation->request && isLost(pending)) {
            createRequests.push_back(*creation->request);
        }
    }
    std::ranges::sort(createRequests);
    for (const Base::RequestId request : createRequests) {
        refuse(request,
               retryableError(
                   Step::Journal, Ran::MayHaveRun, "the partition moved during the creation"));
    }
    std::erase_if(appends_, isLost);
}

void ProgramTable::Private::loseProgram(ProgramEntry &entry)
{
    const std::string message = "the program moved to another daemon";
    for (auto &[number, call] : entry.parked) {
        parkedBytes_ -= Base::Bytes(static_cast<std::int64_t>(call.request.input.size()));
        refuseCallers(call, retryableError(Step::Route, Ran::NotRun, message));
    }
    for (const Base::RequestId request : std::exchange(entry.endRequests, {})) {
        refuse(request, retryableError(Step::Route, Ran::MayHaveRun, message));
    }
    if (!entry.active) {
        return;
    }
    ActiveCall &active = *entry.active;
    // An intent that was not dispatched here is not dispatched by the next owner either.
    const bool isCommittingIntent = active.phase == CallPhase::CommittingIntent;
    const Ran ran = isCommittingIntent ? Ran::NotRun : ranOf(active);
    refuseCallers(active.call, retryableError(Step::Route, ran, message));
    if (active.phase == CallPhase::Running && active.isIdempotent()) {
        emit(CancelDispatch{active.dispatch});
    }
    dispatches_.erase(active.dispatch);
}

void ProgramTable::Private::erase(const Base::ProgramId &program)
{
    const auto found = entries_.find(program);
    historyBytes_ -= found->second.program.historyBytes();
    if (found->second.timer) {
        timers_.erase({*found->second.timer, program});
    }
    entries_.erase(found);
}

bool ProgramTable::Private::isBusy(Base::PartitionId partition) const
{
    const auto isOfPartition
        = [&](const auto &pending) { return partitionOf(programOf(pending.second)) == partition; };
    if (std::ranges::any_of(appends_, isOfPartition)) {
        return true;
    }
    return std::ranges::any_of(entries_, [&](const auto &item) {
        return partitionOf(item.first) == partition
               && (item.second.active || item.second.endReason || !item.second.parked.empty());
    });
}

} // namespace Programs
