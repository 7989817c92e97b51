#include "programtable.h"

#include "programtable_p.h"
#include "refusals.h"

#include <base/partition.h>
#include <base/visitor.h>

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

ProgramTable::ProgramTable(const ProgramLimits &limits)
    : d_(std::make_unique<Private>(limits))
{}

ProgramTable::~ProgramTable() = default;

void ProgramTable::create(const CreateProgram &request, Base::Instant now)
{
    d_->create(request, now);
}

void ProgramTable::submit(SubmitCall request, Base::Instant now)
{
    d_->submit(std::move(request), now);
}

void ProgramTable::describe(const DescribeProgram &request, Base::Instant)
{
    d_->describe(request);
}

void ProgramTable::end(const EndProgram &request, Base::Instant now)
{
    d_->end(request, now);
}

void ProgramTable::callerGone(Base::RequestId request, Base::Instant now)
{
    d_->callerGone(request, now);
}

void ProgramTable::committed(Journal::Ticket ticket, Base::Instant now)
{
    d_->committed(ticket, now);
}

void ProgramTable::appendRefused(Journal::Ticket ticket,
                                 const Base::Error &error,
                                 Base::Instant now)
{
    d_->appendRefused(ticket, error, now);
}

void ProgramTable::fenced(Base::Instant)
{
    d_->loseAll();
}

void ProgramTable::dispatchStarted(DispatchId dispatch, const Base::ServerId &server, Base::Instant)
{
    d_->dispatchStarted(dispatch, server);
}

void ProgramTable::outputReceived(DispatchId dispatch,
                                  const std::string &text,
                                  Base::Tokens tokens,
                                  Base::Instant)
{
    d_->outputReceived(dispatch, text, tokens);
}

void ProgramTable::dispatchFinished(DispatchId dispatch,
                                    const DispatchOutcome &outcome,
                                    Base::Instant now)
{
    d_->dispatchFinished(dispatch, outcome, now);
}

void ProgramTable::partitionAcquired(Base::PartitionId partition, Base::Epoch, Base::Instant)
{
    d_->acquire(partition);
}

void ProgramTable::restore(const ProgramSnapshot &snapshot, Base::Instant now)
{
    d_->restore(snapshot, now);
}

void ProgramTable::replay(Base::PartitionId partition, std::span<const Journal::Record> records)
{
    d_->replay(partition, records);
}

void ProgramTable::recover(Base::PartitionId partition,
                           std::span<const Journal::Record> records,
                           std::span<const Journal::Record> uncertain,
                           Base::Instant now)
{
    d_->recover(partition, records, uncertain, now);
}

void ProgramTable::partitionLeaving(Base::PartitionId partition, Base::Instant)
{
    d_->leave(partition);
}

void ProgramTable::partitionLost(Base::PartitionId partition, Base::Instant)
{
    d_->lose(partition);
}

bool ProgramTable::isBusy(Base::PartitionId partition) const
{
    return d_->isBusy(partition);
}

void ProgramTable::keyWithdrawn(const Base::KeyId &key, Base::Instant now)
{
    d_->keyWithdrawn(key, now);
}

void ProgramTable::tick(Base::Instant now)
{
    d_->tick(now);
}

std::optional<Base::Instant> ProgramTable::nextWakeUp() const
{
    return d_->nextWakeUp();
}

std::vector<ProgramAction> ProgramTable::takeActions()
{
    return d_->takeActions();
}

std::optional<ProgramSnapshot> ProgramTable::snapshot(const Base::ProgramId &program) const
{
    const ProgramEntry *entry = std::as_const(*d_).find(program);
    return entry ? std::optional(entry->program.snapshot()) : std::nullopt;
}

std::vector<Base::ProgramId> ProgramTable::programs(Base::PartitionId partition) const
{
    return d_->programs(partition);
}

bool ProgramTable::isLive(const Base::ProgramId &program) const
{
    return std::as_const(*d_).find(program) != nullptr;
}

size_t ProgramTable::size() const
{
    return d_->size();
}

Base::Bytes ProgramTable::memory(const Base::ProgramId &program) const
{
    const ProgramEntry *entry = std::as_const(*d_).find(program);
    return entry ? d_->memoryOf(*entry) : Base::Bytes(0);
}

Base::Bytes ProgramTable::memory() const
{
    return d_->memory();
}

Base::Tokens ProgramEntry::budgetLeft() const
{
    Base::Tokens left = program.budgetLeft() - reservedByNewChildren;
    if (active && active->phase != CallPhase::CommittingResult) {
        left -= active->reserved();
    } else if (active) {
        left -= active->result->charged;
    }
    return std::max(left, Base::Tokens(0));
}

// Lookup, actions and timers

ProgramEntry *ProgramTable::Private::find(const Base::ProgramId &program)
{
    const auto found = entries_.find(program);
    return found == entries_.end() ? nullptr : &found->second;
}

const ProgramEntry *ProgramTable::Private::find(const Base::ProgramId &program) const
{
    const auto found = entries_.find(program);
    return found == entries_.end() ? nullptr : &found->second;
}

ProgramEntry *ProgramTable::Private::findForTeam(const Base::ProgramId &program,
                                                 const Base::TeamId &team)
{
    ProgramEntry *entry = find(program);
    return entry && entry->program.created().team == team ? entry : nullptr;
}

Base::PartitionId ProgramTable::Private::partitionOf(const Base::ProgramId &program) const
{
    return Base::partitionOf(program, limits_.partitionCount);
}

std::optional<Base::Error> ProgramTable::Private::checkPartition(
    const Base::ProgramId &program) const
{
    const auto partition = partitions_.find(partitionOf(program));
    if (partition == partitions_.end()) {
        return retryableError(Step::Route, Ran::NotRun, "this daemon does not own the program");
    }
    if (partition->second == PartitionState::Recovering) {
        return retryableError(Step::Recover, Ran::NotRun, "the program is being recovered");
    }
    return std::nullopt;
}

bool ProgramTable::Private::isLeaving(const Base::ProgramId &program) const
{
    const auto partition = partitions_.find(partitionOf(program));
    return partition == partitions_.end() || partition->second == PartitionState::Leaving;
}

const EndedProgram *ProgramTable::Private::findEnded(const Base::ProgramId &program,
                                                     const Base::TeamId &team) const
{
    const auto found = ended_.find(program);
    return found == ended_.end() || found->second.team != team ? nullptr : &found->second;
}

void ProgramTable::Private::refuse(Base::RequestId request, Base::Error error)
{
    waiting_.erase(request);
    emit(ReplyError{request, std::move(error)});
}

Base::Error ProgramTable::Private::retryableError(Step step, Ran ran, std::string message) const
{
    return unavailable(step, ran, std::move(message), limits_.retryAfter);
}

Journal::Ticket ProgramTable::Private::append(Append append,
                                              std::vector<Journal::ProgramRecord> records)
{
    lastTicket_ = lastTicket_.next();
    AppendRecords action{lastTicket_, {}};
    action.records.reserve(records.size());
    for (Journal::ProgramRecord &record : records) {
        const Base::ProgramId program = std::visit(
            Base::Visitor{[](const Journal::ChildReserved &child) { return child.parent; },
                          [](const Journal::ChildSettled &child) { return child.parent; },
                          [](const auto &other) {
                              if constexpr (requires { other.program; }) {
                                  return other.program;
                              } else {
                                  // The table does not write records about whole partitions.
                                  return Base::ProgramId();
                              }
                          }},
            record);
        action.records.push_back({partitionOf(program), std::move(record)});
    }
    appends_.emplace(lastTicket_, std::move(append));
    emit(std::move(action));
    return lastTicket_;
}

std::vector<Base::ProgramId> ProgramTable::Private::programs(Base::PartitionId partition) const
{
    std::vector<Base::ProgramId> ids;
    for (const auto &[id, entry] : entries_) {
        if (partitionOf(id) == partition) {
            ids.push_back(id);
        }
    }
    std::ranges::sort(ids);
    return ids;
}

Base::Bytes ProgramTable::Private::memoryOf(const ProgramEntry &entry) const
{
    size_t bytes = sizeof(ProgramEntry) - sizeof(Program);
    for (const auto &[number, call] : entry.parked) {
        bytes += sizeof(PendingCall) + call.request.input.capacity();
    }
    if (entry.active) {
        bytes += entry.active->call.request.input.capacity() + entry.active->streamed.capacity();
    }
    return entry.program.memory() + Base::Bytes(static_cast<std::int64_t>(bytes));
}

Base::Bytes ProgramTable::Private::memory() const
{
    Base::Bytes sum;
    for (const auto &[id, entry] : entries_) {
        sum += memoryOf(entry);
    }
    return sum;
}

} // namespace Programs
