// Requests at the owner of their program's partition, local and forwarded ones.

#include "daemoncore_p.h"

#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::Error;
using Base::Instant;
using Base::RequestId;
using Base::Visitor;

std::string toString(Programs::ProgramState state)
{
    switch (state) {
    case Programs::ProgramState::Active:
        return "active";
    case Programs::ProgramState::Ending:
        return "ending";
    case Programs::ProgramState::Ended:
        break;
    }
    return "ended";
}

CallerApi::TurnReply toReply(const Programs::Turn &turn)
{
    CallerApi::TurnReply reply;
    reply.number = turn.number();
    reply.service = turn.service();
    reply.server = turn.server();
    reply.input = turn.input();
    reply.output = turn.output();
    if (turn.error()) {
        reply.error = *turn.error();
    }
    reply.promptTokens = turn.promptTokens();
    reply.outputTokens = turn.outputTokens();
    return reply;
}

bool isFinal(const CallerApi::CallerReply &reply)
{
    return !std::holds_alternative<CallerApi::OutputReply>(reply);
}

Error unknownService(const Base::ServiceId &service)
{
    return Error{.code = Base::ErrorCode::Malformed,
                 .step = Base::Step::Route,
                 .message = "no such service: " + service.text()};
}

} // namespace

void DaemonCore::Private::requestForwarded(const Base::IncarnationId &from,
                                           const ForwardedRequest &request,
                                           Instant now)
{
    const std::optional<RequestId> id = remoteCallers_.add({from, request.request});
    if (id) {
        runAtOwner(request, *id, now);
    }
}

void DaemonCore::Private::runAtOwner(const ForwardedRequest &request, RequestId id, Instant now)
{
    if (!keys_.isValid(request.key, now)) {
        reply(id,
              Error{.code = Base::ErrorCode::Unauthorized,
                    .step = Base::Step::Authenticate,
                    .message = "the key is not in force"},
              now);
        return;
    }
    std::visit(Visitor{[&](const CreateUnderId &create) {
                           Programs::CreateProgram event;
                           event.request = id;
                           event.program = create.program;
                           event.team = request.team;
                           event.key = request.key;
                           event.budget = create.request.budget;
                           event.maxCalls = create.request.maxCalls;
                           if (create.request.deadline) {
                               event.deadline = now + *create.request.deadline;
                           }
                           event.parent = create.request.parent;
                           programs_.create(event, now);
                       },
                       [&](const CallerApi::SubmitCallRequest &call) {
                           const Contracts::Service *service
                               = config_.document()->findService(call.service);
                           const bool isAllowed = service && allowsTeam(*service, request.team);
                           if (!isAllowed) {
                               reply(id, unknownService(call.service), now);
                               return;
                           }
                           Programs::SubmitCall event;
                           event.request = id;
                           event.program = call.program;
                           event.team = request.team;
                           event.key = request.key;
                           event.number = call.number;
                           event.bodyHash = call.bodyHash;
                           event.service = call.service;
                           event.kind = service->kind;
                           event.isIdempotent = service->isIdempotent;
                           event.input = call.input;
                           event.maxOutputTokens = call.maxOutput;
                           event.isStream = call.isStream;
                           programs_.submit(std::move(event), now);
                       },
                       [&](const CallerApi::DescribeProgramRequest &describe) {
                           programs_.describe({id, describe.program, request.team}, now);
                       },
                       [&](const CallerApi::EndProgramRequest &end) {
                           programs_.end({id, end.program, request.team}, now);
                       }},
               request.body);
}

void DaemonCore::Private::reply(RequestId request, CallerApi::CallerReply reply, Instant now)
{
    if (!RemoteCallers::isRemote(request)) {
        router_.replied(request, std::move(reply), now);
        return;
    }
    const std::optional<RemoteCaller> caller = remoteCallers_.find(request);
    if (!caller) {
        return;
    }
    if (isFinal(reply)) {
        remoteCallers_.remove(request);
    }
    send(caller->daemon, ForwardedReply{caller->request, std::move(reply)}, now);
}

void DaemonCore::Private::programActions(Instant now)
{
    for (Programs::ProgramAction &action : programs_.takeActions()) {
        ++processedActions_;
        std::visit([&](auto &body) { programAction(body, now); }, action);
    }
}

void DaemonCore::Private::programAction(Programs::AppendRecords &append, Instant now)
{
    const Base::Result<void> result
        = journal_.append(append.ticket, std::move(append.records), now);
    if (!result) {
        programs_.appendRefused(append.ticket, result.error(), now);
    }
}

void DaemonCore::Private::programAction(Programs::StartDispatch &start, Instant now)
{
    const Contracts::Service *service = config_.document()->findService(start.service);
    if (!service) {
        programs_.dispatchFinished(
            start.dispatch, Programs::DispatchFailed{unknownService(start.service), {}, {}}, now);
        return;
    }
    dispatchProgramRun(std::move(start), *service, now);
}

void DaemonCore::Private::programAction(Programs::CancelDispatch &cancel, Instant now)
{
    const auto run = programRuns_.find(cancel.dispatch);
    if (run != programRuns_.end()) {
        cancelRun(run->second, now);
    }
}

void DaemonCore::Private::programAction(Programs::ReplyCreated &created, Instant now)
{
    reply(created.request, CallerApi::CreatedReply{created.program}, now);
}

void DaemonCore::Private::programAction(Programs::ReplyAccepted & /*accepted*/, Instant /*now*/) {}

void DaemonCore::Private::programAction(Programs::ReplyOutput &output, Instant now)
{
    reply(output.request, CallerApi::OutputReply{std::move(output.text)}, now);
}

void DaemonCore::Private::programAction(Programs::ReplyDone &done, Instant now)
{
    reply(done.request, CallerApi::DoneReply{toReply(*done.turn), done.isRepeat}, now);
}

void DaemonCore::Private::programAction(Programs::ReplyError &error, Instant now)
{
    reply(error.request, std::move(error.error), now);
}

void DaemonCore::Private::programAction(Programs::ReplyDescription &description, Instant now)
{
    CallerApi::DescriptionReply answer;
    answer.program = description.program;
    answer.state = toString(description.state);
    answer.budget = description.budget;
    answer.spent = description.spent;
    answer.budgetLeft = description.budgetLeft;
    answer.nextNumber = description.nextNumber;
    answer.children = std::move(description.children);
    if (description.history) {
        for (const auto &turn : *description.history) {
            answer.turns.push_back(toReply(*turn));
        }
    }
    reply(description.request, std::move(answer), now);
}

void DaemonCore::Private::programAction(Programs::ReplyEnded &ended, Instant now)
{
    reply(ended.request, CallerApi::EndedReply{ended.program}, now);
}

void DaemonCore::Private::programAction(Programs::ReleaseEngineMemory &release, Instant now)
{
    dispatcher_.programEnded(release.program, now);
}

} // namespace Scheduler
