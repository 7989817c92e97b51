#include "programtable_p.h"
#include "refusals.h"

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Requests of callers to create, describe and end programs.

void ProgramTable::Private::create(const CreateProgram &request, Base::Instant now)
{
    const Base::ProgramId &target = request.parent ? *request.parent : request.program;
    if (std::optional<Base::Error> error = checkPartition(target)) {
        refuse(request.request, std::move(*error));
        return;
    }
    if (request.parent) {
        createChild(request, now);
        return;
    }
    createRoot(request, now);
}

std::optional<Base::Error> ProgramTable::Private::checkCreation(const CreateProgram &request,
                                                                const ProgramEntry *parent) const
{
    if (request.budget.value() < 0) {
        return malformed("the budget is negative");
    }
    if (withdrawnKeys_.contains(request.key)) {
        return keyIsWithdrawn(Ran::NotRun);
    }
    if (isLeaving(parent ? parent->program.id() : request.program)) {
        return retryableError(Step::Route, Ran::NotRun, "the program moves to another daemon");
    }
    const bool isFull = entries_.size() + appends_.size() >= limits_.maxPrograms
                        || historyBytes_ >= limits_.maxTotalHistory;
    if (isFull) {
        return retryableError(Step::Order, Ran::NotRun, "too many programs");
    }
    if (parent && parent->endReason) {
        return programEnded(Ran::NotRun);
    }
    if (parent && parent->budgetLeft() < request.budget) {
        return overBudget("the parent's budget does not cover the child's");
    }
    return std::nullopt;
}

void ProgramTable::Private::createRoot(const CreateProgram &request, Base::Instant now)
{
    // A creation that is repeated after a lost response returns the existing program.
    if (findForTeam(request.program, request.team)) {
        emit(ReplyCreated{request.request, request.program});
        return;
    }
    const auto isSame = [&request](const auto &pending) {
        const auto *creation = std::get_if<CreateAppend>(&pending.second);
        return creation && creation->created.program == request.program;
    };
    const bool isTaken = find(request.program) || ended_.contains(request.program)
                         || std::ranges::any_of(appends_, isSame);
    if (isTaken || request.program.text().find('.') != std::string::npos) {
        refuse(request.request,
               malformed("the program identifier is already in use or contains a '.'"));
        return;
    }
    if (std::optional<Base::Error> error = checkCreation(request, nullptr)) {
        refuse(request.request, std::move(*error));
        return;
    }
    appendCreation(request, request.program, now);
}

void ProgramTable::Private::createChild(const CreateProgram &request, Base::Instant now)
{
    ProgramEntry *parent = findForTeam(*request.parent, request.team);
    if (!parent) {
        const bool hasEnded = findEnded(*request.parent, request.team) != nullptr;
        refuse(request.request, hasEnded ? programEnded(Ran::NotRun) : unknownProgram(Ran::NotRun));
        return;
    }
    if (std::optional<Base::Error> error = checkCreation(request, parent)) {
        refuse(request.request, std::move(*error));
        return;
    }
    parent->lastChild = std::max(parent->lastChild, parent->program.childCount()) + 1;
    parent->reservedByNewChildren += request.budget;
    ++parent->newChildren;
    appendCreation(request, parent->program.childId(parent->lastChild), now);
}

void ProgramTable::Private::appendCreation(const CreateProgram &request,
                                           const Base::ProgramId &id,
                                           Base::Instant now)
{
    Journal::ProgramCreated created;
    created.program = id;
    created.team = request.team;
    created.budget = request.budget;
    created.maxCalls = request.maxCalls == 0 ? limits_.defaultMaxCalls : request.maxCalls;
    created.createdAt = now;
    created.deadline = request.deadline;
    created.parent = request.parent;
    created.key = request.key;

    std::vector<Journal::ProgramRecord> records;
    if (request.parent) {
        records.emplace_back(Journal::ChildReserved{*request.parent, id, request.budget});
    }
    records.emplace_back(created);
    waiting_.emplace(request.request, id);
    append(CreateAppend{created, request.request}, std::move(records));
}

void ProgramTable::Private::creationCommitted(const CreateAppend &append, Base::Instant now)
{
    const Journal::ProgramCreated &created = append.created;
    ProgramEntry &entry
        = entries_.emplace(created.program, ProgramEntry(Program(created))).first->second;
    entry.lastActivity = now;
    ProgramEntry *parent = created.parent ? find(*created.parent) : nullptr;
    if (parent) {
        parent->reservedByNewChildren -= created.budget;
        --parent->newChildren;
        parent->program.apply(
            Journal::ChildReserved{*created.parent, created.program, created.budget});
    }
    if (append.request) {
        waiting_.erase(*append.request);
        emit(ReplyCreated{*append.request, created.program});
    }
    reschedule(entry);
    if (parent && parent->endReason) {
        requestEnd(entry, *parent->endReason, now);
        return;
    }
    if (withdrawnKeys_.contains(created.key)) {
        requestEnd(entry, Journal::EndReason::KeyWithdrawn, now);
        return;
    }
    // No caller knows the program's identifier, so it cannot be used.
    if (!append.request) {
        requestEnd(entry, Journal::EndReason::ByCaller, now);
    }
}

void ProgramTable::Private::creationRefused(const CreateAppend &append,
                                            const Base::Error &error,
                                            Base::Instant now)
{
    if (append.request) {
        Base::Error refusal = error;
        refusal.ran = Ran::NotRun;
        refuse(*append.request, std::move(refusal));
    }
    ProgramEntry *parent = append.created.parent ? find(*append.created.parent) : nullptr;
    if (!parent) {
        return;
    }
    parent->reservedByNewChildren -= append.created.budget;
    --parent->newChildren;
    tryEnd(*parent, now);
}

void ProgramTable::Private::describe(const DescribeProgram &request)
{
    if (std::optional<Base::Error> error = checkPartition(request.program)) {
        refuse(request.request, std::move(*error));
        return;
    }
    ReplyDescription reply;
    reply.request = request.request;
    reply.program = request.program;
    if (const EndedProgram *ended = findEnded(request.program, request.team)) {
        reply.state = ProgramState::Ended;
        reply.endReason = ended->reason;
        reply.budget = ended->budget;
        reply.spent = ended->spent;
        reply.budgetLeft = std::max(ended->budget - ended->spent, Base::Tokens(0));
        reply.nextNumber = ended->nextNumber;
        reply.history = std::make_shared<const History>();
        emit(std::move(reply));
        return;
    }
    ProgramEntry *entry = findForTeam(request.program, request.team);
    if (!entry) {
        refuse(request.request, unknownProgram(Ran::NotRun));
        return;
    }
    reply.state = entry->endReason ? ProgramState::Ending : ProgramState::Active;
    reply.endReason = entry->endReason;
    reply.budget = entry->program.created().budget;
    reply.spent = entry->program.charged();
    reply.budgetLeft = entry->budgetLeft();
    reply.nextNumber = entry->program.nextNumber();
    for (const Journal::ChildReserved &child : entry->program.children()) {
        reply.children.push_back(child.child);
    }
    reply.history = entry->program.history();
    emit(std::move(reply));
}

void ProgramTable::Private::end(const EndProgram &request, Base::Instant now)
{
    if (std::optional<Base::Error> error = checkPartition(request.program)) {
        refuse(request.request, std::move(*error));
        return;
    }
    if (findEnded(request.program, request.team)) {
        emit(ReplyEnded{request.request, request.program});
        return;
    }
    ProgramEntry *entry = findForTeam(request.program, request.team);
    if (!entry) {
        refuse(request.request, unknownProgram(Ran::NotRun));
        return;
    }
    entry->endRequests.push_back(request.request);
    waiting_.emplace(request.request, request.program);
    requestEnd(*entry, Journal::EndReason::ByCaller, now);
}

void ProgramTable::Private::callerGone(Base::RequestId request, Base::Instant now)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end()) {
        return;
    }
    const Base::ProgramId program = found->second;
    waiting_.erase(found);
    for (auto &[ticket, append] : appends_) {
        auto *creation = std::get_if<CreateAppend>(&append);
        if (creation && creation->request == request) {
            creation->request.reset();
            return;
        }
    }
    ProgramEntry *entry = find(program);
    if (!entry) {
        return;
    }
    std::erase(entry->endRequests, request);
    const auto isGone = [request](const Caller &caller) { return caller.request == request; };
    for (auto &[number, call] : entry->parked) {
        std::erase_if(call.callers, isGone);
    }
    if (entry->active) {
        std::erase_if(entry->active->call.callers, isGone);
    }
    handleRemovedCallers(*entry, now);
}

} // namespace Programs
