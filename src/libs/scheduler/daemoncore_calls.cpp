// Requests of callers that arrived at this daemon.

#include "daemoncore_p.h"

#include <base/partition.h>
#include <base/visitor.h>

namespace Scheduler {

namespace {

using Base::Error;
using Base::ErrorCode;
using Base::Instant;
using Base::RequestId;
using Base::Visitor;
using CallerApi::AnswerStyle;

/// Lowest id of requests that the daemon itself creates.
constexpr std::uint64_t firstInternalId = 1ULL << 61;
/// Estimated length of a token, for the budget of a chat completion.
constexpr std::int64_t charactersPerToken = 3;
constexpr Base::Tokens defaultChatOutput(1024);
constexpr Base::Tokens chatTemplateReserve(256);
/// Attempts to find a program id in a partition that this daemon serves.
constexpr int localIdAttempts = 64;

Error refusal(ErrorCode code, Base::Step step, std::string message)
{
    return Error{.code = code, .step = step, .message = std::move(message)};
}

Error notReady(const std::string &reason)
{
    Error error = refusal(ErrorCode::Unavailable, Base::Step::Authenticate, reason);
    error.retryAfter = std::chrono::seconds(1);
    return error;
}

/// Whether the request counts against the team's rate, as all requests do that create work.
bool isRated(const CallerApi::CallerRequest &request)
{
    return !std::holds_alternative<CallerApi::DescribeProgramRequest>(request)
           && !std::holds_alternative<CallerApi::EndProgramRequest>(request);
}

AnswerStyle styleOf(const CallerApi::CallerRequest &request)
{
    if (const auto *call = std::get_if<CallerApi::SubmitCallRequest>(&request)) {
        return call->isStream ? AnswerStyle::Events : AnswerStyle::Json;
    }
    if (const auto *chat = std::get_if<CallerApi::ChatCompletionRequest>(&request)) {
        return chat->isStream ? AnswerStyle::ChatEvents : AnswerStyle::ChatJson;
    }
    return AnswerStyle::Json;
}

const Contracts::Service *serviceOfModel(const Contracts::ConfigurationDocument &document,
                                         const Base::ModelId &model)
{
    for (const Contracts::Service &service : document.services) {
        if (service.kind == Contracts::ServiceKind::Model
            && (service.model == model || service.id.text() == model.text())) {
            return &service;
        }
    }
    return nullptr;
}

bool mayUse(const Contracts::Service &service, const Base::TeamId &team)
{
    return service.isOpenToAll || allowsTeam(service, team);
}

} // namespace

void DaemonCore::Private::answer(RequestId request, CallerApi::CallerReply reply, AnswerStyle style)
{
    actions_.emplace_back(AnswerCaller{request, std::move(reply), style});
}

/// The error for every request, if none is accepted.
std::optional<Error> DaemonCore::Private::unavailability(Instant now) const
{
    if (isShuttingDown_ || isFenced_) {
        return notReady("this daemon is shutting down");
    }
    if (!config_.isReady() || !config_.isFresh(now)) {
        return notReady("this daemon has no configuration or could not confirm it recently");
    }
    return std::nullopt;
}

std::optional<Error> DaemonCore::Private::earlyRefusal(
    const std::string &key, const std::optional<Base::ServiceId> &plainService, Instant now) const
{
    if (std::optional<Error> unavailable = unavailability(now)) {
        return unavailable;
    }
    const Contracts::Service *service
        = plainService ? config_.document()->findService(*plainService) : nullptr;
    if (service && service->isOpenToAll) {
        return std::nullopt;
    }
    const Base::Result<Contracts::KeyHolder> holder = keys_.authenticate(key, now);
    return holder ? std::nullopt : std::optional(holder.error());
}

void DaemonCore::Private::call(IncomingCall call, Instant now)
{
    const AnswerStyle style = styleOf(call.body);
    if (const std::optional<Error> unavailable = unavailability(now)) {
        answer(call.request, *unavailable, style);
        return;
    }
    if (const auto *plain = std::get_if<CallerApi::PlainServiceRequest>(&call.body)) {
        const Contracts::Service *service = config_.document()->findService(plain->service);
        if (service && service->isOpenToAll) {
            startPlainCall(call.request, {}, *plain, now);
            return;
        }
    }
    const Base::Result<Contracts::KeyHolder> holder = keys_.authenticate(call.key, now);
    if (!holder) {
        answer(call.request, holder.error(), style);
        return;
    }
    const bool isLimited = isRated(call.body);
    const Base::TeamId team = holder.value().team;
    awaitingPermit_.emplace(call.request, AwaitingPermit{holder.value(), std::move(call.body)});
    if (isLimited) {
        borrowers_.arrived(team, call.request, now + settings_.borrower.maximumWait, now);
    } else {
        admitted(call.request, now);
    }
}

void DaemonCore::Private::callerGone(RequestId request, Instant now)
{
    const auto waiting = awaitingPermit_.find(request);
    if (waiting != awaitingPermit_.end()) {
        borrowers_.cancelled(waiting->second.holder.team, request, now);
        awaitingPermit_.erase(waiting);
        return;
    }
    const auto run = serviceRuns_.find(request);
    if (run != serviceRuns_.end()) {
        // A run that has started at its server is not cancelled; only its answer is dropped.
        if (!runs_.at(run->second).isStarted) {
            cancelRun(run->second, now);
        }
        return;
    }
    const auto chat = chats_.find(request);
    if (chat != chats_.end()) {
        const Chat ended = std::move(chat->second);
        chats_.erase(chat);
        router_.submit(RoutedCall{RequestId(firstInternalId + ++lastInternalRequest_),
                                  ended.holder,
                                  CallerApi::EndProgramRequest{ended.program},
                                  AnswerStyle::Json},
                       now);
    }
    router_.callerGone(request);
}

void DaemonCore::Private::admitted(RequestId request, Instant now)
{
    const auto entry = awaitingPermit_.find(request);
    if (entry == awaitingPermit_.end()) {
        return;
    }
    const AwaitingPermit waiting = std::move(entry->second);
    awaitingPermit_.erase(entry);
    const AnswerStyle style = styleOf(waiting.body);
    if (!keys_.isValid(waiting.holder.key, now)) {
        answer(request,
               refusal(ErrorCode::Unauthorized,
                       Base::Step::Authenticate,
                       "the key was withdrawn while the request waited"),
               style);
        return;
    }
    const auto route = [&](ForwardedBody body) {
        router_.submit(RoutedCall{request, waiting.holder, std::move(body), style}, now);
    };
    std::visit(Visitor{[&](const CallerApi::CreateProgramRequest &create) {
                           route(CreateUnderId{newProgramId(request), create});
                       },
                       [&](const CallerApi::ChatCompletionRequest &chat) {
                           startChat(request, waiting.holder, chat, now);
                       },
                       [&](const CallerApi::PlainServiceRequest &plain) {
                           startPlainCall(request, waiting.holder.team, plain, now);
                       },
                       [&](const auto &body) { route(body); }},
               waiting.body);
}

Base::ProgramId DaemonCore::Private::newProgramId(RequestId request)
{
    // With an id in a partition served here, calls that arrive here need no forwarding.
    std::string text;
    for (int attempt = 0; attempt < localIdAttempts; ++attempt) {
        const std::string seed = settings_.self.incarnation.text() + "/"
                                 + std::to_string(request.value()) + "/"
                                 + std::to_string(++programCounter_);
        text = "p" + std::to_string(Base::hash64(seed, settings_.seed))
               + std::to_string(Base::hash64(seed, ~settings_.seed) % 1'000'000);
        if (serving_.contains(Base::partitionOf(Base::ProgramId(text), settings_.partitionCount))) {
            break;
        }
    }
    return Base::ProgramId(text);
}

void DaemonCore::Private::startPlainCall(RequestId request,
                                         const Base::TeamId &team,
                                         const CallerApi::PlainServiceRequest &body,
                                         Instant now)
{
    const Contracts::Service *service = config_.document()->findService(body.service);
    if (!service || service->kind != Contracts::ServiceKind::Plain || !mayUse(*service, team)) {
        answer(request,
               refusal(ErrorCode::UnknownProgram,
                       Base::Step::Route,
                       "no such service: " + body.service.text()));
        return;
    }
    dispatchServiceRun(ServiceRun{request, {}, body}, *service, team, now);
}

void DaemonCore::Private::startChat(RequestId request,
                                    const Contracts::KeyHolder &holder,
                                    const CallerApi::ChatCompletionRequest &body,
                                    Instant now)
{
    const Contracts::Service *service = serviceOfModel(*config_.document(), body.model);
    if (!service || !mayUse(*service, holder.team)) {
        answer(request,
               refusal(ErrorCode::UnknownProgram,
                       Base::Step::Route,
                       "no such model: " + body.model.text()),
               styleOf(body));
        return;
    }
    const Base::Tokens prompt(static_cast<std::int64_t>(body.input.size()) / charactersPerToken);
    CallerApi::CreateProgramRequest create;
    create.budget
        = prompt + prompt + chatTemplateReserve + body.maxOutput.value_or(defaultChatOutput);
    create.maxCalls = 1;
    Chat chat{holder, body, service->id, newProgramId(request)};
    router_.submit(RoutedCall{request, holder, CreateUnderId{chat.program, create}, styleOf(body)},
                   now);
    chats_.emplace(request, std::move(chat));
}

bool DaemonCore::Private::continueChat(const AnswerCaller &answer, Instant now)
{
    const auto entry = chats_.find(answer.request);
    if (entry == chats_.end() || std::holds_alternative<CallerApi::OutputReply>(answer.reply)) {
        return false;
    }
    const Chat &chat = entry->second;
    if (std::holds_alternative<CallerApi::CreatedReply>(answer.reply)) {
        CallerApi::SubmitCallRequest call;
        call.program = chat.program;
        call.number = Base::CallNumber(1);
        call.service = chat.service;
        call.input = chat.body.input;
        call.isStream = chat.body.isStream;
        call.maxOutput = chat.body.maxOutput;
        call.bodyHash = chat.body.bodyHash;
        router_.submit(RoutedCall{answer.request, chat.holder, std::move(call), answer.style}, now);
        return true;
    }
    router_.submit(RoutedCall{RequestId(firstInternalId + ++lastInternalRequest_),
                              chat.holder,
                              CallerApi::EndProgramRequest{chat.program},
                              AnswerStyle::Json},
                   now);
    chats_.erase(entry);
    return false;
}

void DaemonCore::Private::routerActions(Instant now)
{
    for (CallRouterAction &action : router_.takeActions()) {
        ++processedActions_;
        std::visit(
            Visitor{
                [&](RouteLocal &route) { runAtOwner(route.request, route.request.request, now); },
                [&](RouteRemote &route) { send(route.owner, std::move(route.request), now); },
                [&](const CancelLocal &cancel) { programs_.callerGone(cancel.request, now); },
                [&](const CancelRemote &cancel) {
                    send(cancel.owner, ForwardedCancel{cancel.request}, now);
                },
                [&](AnswerCaller &answer) {
                    const bool isInternal = answer.request.value() >= firstInternalId;
                    if (!isInternal && !continueChat(answer, now)) {
                        actions_.emplace_back(std::move(answer));
                    }
                },
                [&](const RefreshAssignment &) { ownership_.refreshAssignment(now); }},
            action);
    }
}

void DaemonCore::Private::borrowerActions(Instant now)
{
    for (Admission::BorrowerAction &action : borrowers_.takeActions()) {
        ++processedActions_;
        std::visit(Visitor{[&](const Admission::AdmitCall &admit) { admitted(admit.request, now); },
                           [&](const Admission::RefuseCall &refuse) {
                               const auto entry = awaitingPermit_.find(refuse.request);
                               if (entry == awaitingPermit_.end()) {
                                   return;
                               }
                               const AnswerStyle style = styleOf(entry->second.body);
                               awaitingPermit_.erase(entry);
                               answer(refuse.request, refuse.error, style);
                           },
                           [&](const Admission::SendGrantRequest &send) {
                               sendToOwner(partitionOfTeam(send.request.team), send.request, now);
                           },
                           [&](const Admission::SendGrantReturn &send) {
                               sendToOwner(
                                   partitionOfTeam(send.grantReturn.team), send.grantReturn, now);
                           }},
                   action);
    }
}

} // namespace Scheduler
