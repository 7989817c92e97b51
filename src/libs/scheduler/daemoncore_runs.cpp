// Runs of calls at backend servers.

#include "daemoncore_p.h"

#include <base/partition.h>
#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::Error;
using Base::Instant;
using Base::Visitor;
using Dispatch::DispatchId;

constexpr std::int64_t charactersPerToken = 4;
constexpr int firstSuccessStatus = 200;
constexpr int lastSuccessStatus = 299;

Base::Tokens estimateTokens(size_t characters)
{
    return Base::Tokens(static_cast<std::int64_t>(characters) / charactersPerToken + 1);
}

Base::Tokens historyTokens(const Programs::History &history)
{
    size_t characters = 0;
    for (const auto &turn : history) {
        if (!turn->error()) {
            characters += turn->input().size() + turn->output().size();
        }
    }
    return estimateTokens(characters);
}

bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

double DaemonCore::Private::weightOf(const Base::TeamId &team) const
{
    const Contracts::Team *found = config_.document()->findTeam(team);
    return found ? found->weight : 1.0;
}

void DaemonCore::Private::dispatchProgramRun(Programs::StartDispatch start,
                                             const Contracts::Service &service,
                                             Instant now)
{
    const DispatchId id(++lastRun_);
    Dispatch::DispatchRequest request;
    request.id = id;
    request.program = start.program;
    request.number = start.number;
    request.team = start.team;
    request.weight = weightOf(start.team);
    request.service = start.service;
    request.kind = toDispatch(start.kind);
    request.isIdempotent = start.isIdempotent;
    if (start.kind == Contracts::ServiceKind::Model) {
        request.prefixTokens = start.history ? historyTokens(*start.history) : Base::Tokens();
        request.promptTokens = request.prefixTokens + estimateTokens(start.input.size());
        request.expectedOutput = start.outputLimit;
    }
    request.attained = start.attainedService;
    request.deadline = now + service.callTimeout;
    programRuns_.emplace(start.dispatch, id);
    Run run;
    run.service = service.id;
    run.origin = ProgramRun{std::move(start)};
    runs_.emplace(id, std::move(run));
    dispatcher_.enqueue(request, now);
}

void DaemonCore::Private::dispatchServiceRun(ServiceRun run,
                                             const Contracts::Service &service,
                                             const Base::TeamId &team,
                                             Instant now)
{
    const DispatchId id(++lastRun_);
    Dispatch::DispatchRequest request;
    request.id = id;
    request.team = team;
    request.weight = weightOf(team);
    request.service = service.id;
    request.kind = Dispatch::ServiceKind::Plain;
    request.isIdempotent = service.isIdempotent || isIdempotentMethod(run.body.method);
    request.deadline = now + service.callTimeout;
    serviceRuns_.emplace(run.request, id);
    Run entry;
    entry.service = service.id;
    entry.origin = std::move(run);
    runs_.emplace(id, std::move(entry));
    dispatcher_.enqueue(request, now);
}

void DaemonCore::Private::dispatchActions(Instant now)
{
    for (Dispatch::DispatchAction &action : dispatcher_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{[&](const Dispatch::SendToServer &send) { sendToServer(send, now); },
                    [&](const Dispatch::Refuse &refuse) { dispatchRefused(refuse, now); },
                    [&](const Dispatch::CancelAtServer &cancel) {
                        actions_.emplace_back(CancelRun{cancel.id});
                    },
                    [&](const Dispatch::ReleaseMemory &release) {
                        const auto *server = config_.document()->findServer(release.server);
                        if (server) {
                            actions_.emplace_back(ReleaseEngineCache{
                                release.server, server->address, release.program, release.epoch});
                        }
                    },
                    [&](const Dispatch::Probe &probe) {
                        const auto *server = config_.document()->findServer(probe.server);
                        const auto *service
                            = server ? config_.document()->findService(server->service) : nullptr;
                        if (service) {
                            actions_.emplace_back(
                                ProbeServer{probe.server, server->address, service->kind});
                        }
                    },
                    [&](Dispatch::SendSlotRequest &sendRequest) {
                        const Base::PartitionId partition
                            = partitionOfServer(sendRequest.request.server);
                        sendToOwner(partition, std::move(sendRequest.request), now);
                    },
                    [&](Dispatch::SendSlotReturn &sendReturn) {
                        const Base::PartitionId partition
                            = partitionOfServer(sendReturn.slot.server);
                        sendToOwner(partition, std::move(sendReturn.slot), now);
                    }},
            action);
    }
}

void DaemonCore::Private::sendToServer(const Dispatch::SendToServer &send, Instant now)
{
    const auto entry = runs_.find(send.id);
    const Contracts::BackendServer *server = config_.document()->findServer(send.server);
    const Contracts::Service *service
        = entry == runs_.end() ? nullptr : config_.document()->findService(entry->second.service);
    if (!service || !server) {
        const Error error{.code = Base::ErrorCode::Unavailable,
                          .step = Base::Step::Dispatch,
                          .peer = send.server.text(),
                          .message = "server " + send.server.text()
                                     + " or its service was removed from the configuration"};
        dispatcher_.failed(send.id, Dispatch::Failure{error, false}, now);
        return;
    }
    Run &run = entry->second;
    run.server = send.server;
    run.output.clear();
    run.isStarted = true;
    std::visit(Visitor{[&](const ProgramRun &origin) {
                           const Programs::StartDispatch &start = origin.start;
                           programs_.dispatchStarted(start.dispatch, send.server, now);
                           if (start.kind == Contracts::ServiceKind::Model) {
                               actions_.emplace_back(RunModelCall{send.id,
                                                                  send.server,
                                                                  server->address,
                                                                  service->model,
                                                                  start.program,
                                                                  start.history,
                                                                  start.input,
                                                                  start.outputLimit,
                                                                  service->callTimeout});
                               return;
                           }
                           actions_.emplace_back(RunPlainCall{
                               send.id,
                               send.server,
                               server->address,
                               "POST",
                               service->route.empty() ? "/" : service->route,
                               "application/json",
                               start.input,
                               start.isIdempotent,
                               service->callTimeout,
                               start.program.text() + "/" + std::to_string(start.number.value())});
                       },
                       [&](const ServiceRun &origin) {
                           actions_.emplace_back(RunPlainCall{
                               send.id,
                               send.server,
                               server->address,
                               origin.body.method,
                               service->route + origin.body.target,
                               origin.body.contentType,
                               origin.body.body,
                               service->isIdempotent || isIdempotentMethod(origin.body.method),
                               service->callTimeout,
                               {}});
                       }},
               run.origin);
}

void DaemonCore::Private::dispatchRefused(const Dispatch::Refuse &refuse, Instant now)
{
    const auto entry = runs_.find(refuse.id);
    if (entry == runs_.end()) {
        return;
    }
    const Run run = std::move(entry->second);
    runs_.erase(entry);
    std::visit(
        Visitor{[&](const ProgramRun &origin) {
                    programRuns_.erase(origin.start.dispatch);
                    programs_.dispatchFinished(
                        origin.start.dispatch, Programs::DispatchFailed{refuse.error, {}, {}}, now);
                },
                [&](const ServiceRun &origin) {
                    serviceRuns_.erase(origin.request);
                    answer(origin.request, refuse.error);
                }},
        run.origin);
}

void DaemonCore::Private::outputReceived(DispatchId id, const std::string &text, Instant now)
{
    const auto entry = runs_.find(id);
    if (entry == runs_.end()) {
        return;
    }
    Run &run = entry->second;
    if (run.output.empty()) {
        dispatcher_.started(id, now);
    }
    run.output += text;
    const auto *origin = std::get_if<ProgramRun>(&run.origin);
    if (!origin || run.isDiverged) {
        return;
    }
    // A further attempt sends the output from its start; the part already passed on is skipped.
    const size_t common = std::min(run.output.size(), run.delivered.size());
    if (run.output.compare(0, common, run.delivered, 0, common) != 0) {
        run.isDiverged = true;
        return;
    }
    if (run.output.size() > run.delivered.size()) {
        const std::string addedText = run.output.substr(run.delivered.size());
        run.delivered = run.output;
        programs_.outputReceived(origin->start.dispatch, addedText, Base::Tokens(1), now);
    }
}

void DaemonCore::Private::modelFinished(DispatchId id, const Dispatch::Usage &usage, Instant now)
{
    const auto entry = runs_.find(id);
    if (entry == runs_.end()) {
        return;
    }
    const Run run = std::move(entry->second);
    runs_.erase(entry);
    dispatcher_.finished(id, usage, now);
    if (const auto *origin = std::get_if<ProgramRun>(&run.origin)) {
        programRuns_.erase(origin->start.dispatch);
        programs_.dispatchFinished(
            origin->start.dispatch,
            Programs::DispatchCompleted{run.output, usage.promptTokens, usage.outputTokens},
            now);
    }
}

void DaemonCore::Private::plainFinished(DispatchId id, PlainResult result, Instant now)
{
    const auto entry = runs_.find(id);
    if (entry == runs_.end()) {
        return;
    }
    const bool isSuccess
        = result.status >= firstSuccessStatus && result.status <= lastSuccessStatus;
    if (std::holds_alternative<ProgramRun>(entry->second.origin) && !isSuccess) {
        const Error error{.code = Base::ErrorCode::BackendFailed,
                          .step = Base::Step::Backend,
                          .peer = entry->second.server.text(),
                          .ran = Base::Ran::MayHaveRun,
                          .message = "the backend server answered with status "
                                     + std::to_string(result.status)};
        runFailed(id, Dispatch::Failure{error, result.status >= 500}, now);
        return;
    }
    const Run run = std::move(entry->second);
    runs_.erase(entry);
    dispatcher_.finished(id, {}, now);
    std::visit(Visitor{[&](const ProgramRun &origin) {
                           programRuns_.erase(origin.start.dispatch);
                           programs_.dispatchFinished(
                               origin.start.dispatch,
                               Programs::DispatchCompleted{std::move(result.body), {}, {}},
                               now);
                       },
                       [&](const ServiceRun &origin) {
                           serviceRuns_.erase(origin.request);
                           answer(origin.request,
                                  CallerApi::ServiceReply{result.status,
                                                          std::move(result.contentType),
                                                          std::move(result.body)});
                       }},
               run.origin);
}

void DaemonCore::Private::runFailed(DispatchId id, const Dispatch::Failure &failure, Instant now)
{
    // The dispatcher retries the call or refuses it; the refusal ends the run.
    if (runs_.contains(id)) {
        dispatcher_.failed(id, failure, now);
    }
}

void DaemonCore::Private::cancelRun(DispatchId id, Instant now)
{
    const bool isWaiting = !runs_.at(id).isStarted;
    dispatcher_.cancel(id, now);
    if (isWaiting) {
        // The dispatcher reports the end of a cancelled call only if the call has started.
        dispatchRefused({id,
                         Error{.code = Base::ErrorCode::Cancelled,
                               .step = Base::Step::Dispatch,
                               .message = "the caller left before the call was dispatched"}},
                        now);
    }
}

void DaemonCore::Private::engineLoadReported(const EngineLoadReport &report, Instant now)
{
    dispatcher_.loadReported(report.server, report.running, report.queued, report.measuredAt);
    // Caches of ended programs are released. Only programs of partitions served here are checked;
    // the owners of the other partitions check theirs.
    std::vector<Base::ProgramId> servedPrograms;
    std::set<Base::ProgramId> live;
    for (const Base::ProgramId &program : report.cachedPrograms) {
        if (!serving_.contains(Base::partitionOf(program, settings_.partitionCount))) {
            continue;
        }
        servedPrograms.push_back(program);
        if (programs_.isLive(program)) {
            live.insert(program);
        }
    }
    for (const Base::ProgramId &program : servedPrograms) {
        if (!live.contains(program)) {
            dispatcher_.cacheEvent(
                report.server, program, Base::Tokens(1), Dispatch::CacheEventKind::Filled);
            dispatcher_.programEnded(program, now);
        }
    }
}

void DaemonCore::Private::slotActions(Instant now)
{
    for (Dispatch::SendSlotGrant &grant : slotLenders_.takeActions()) {
        ++processedActions_;
        send(grant.borrower, std::move(grant.grant), now);
    }
    for (Admission::SendGrant &grant : lenders_.takeActions()) {
        ++processedActions_;
        send(grant.borrower, std::move(grant.grant), now);
    }
}

} // namespace Scheduler
