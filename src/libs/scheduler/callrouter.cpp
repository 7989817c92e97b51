#include "callrouter.h"

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
using CallerApi::CallerReply;

/// The creation of a child is not repeated: it would reserve the child's budget a second time.
bool isRepeatable(const ForwardedBody &body)
{
    const auto *create = std::get_if<CreateUnderId>(&body);
    return !create || !create->request.parent;
}

/// Whether the request may be routed again, to the same or another owner.
bool shouldRetry(const Error &error, const ForwardedBody &body)
{
    const bool isRouting = error.step == Base::Step::Route || error.step == Base::Step::Recover
                           || error.step == Base::Step::Forward;
    const bool isSafe = error.ran == Base::Ran::NotRun || isRepeatable(body);
    return error.code == ErrorCode::Unavailable && isRouting && isSafe;
}

Error noOwnerError(const Base::ProgramId &program)
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Base::Step::Route,
                 .ran = Base::Ran::NotRun,
                 .message = "no daemon serves the partition of program " + program.text() + " now",
                 .retryAfter = std::chrono::seconds(1)};
}

Error ownerLostError(const Base::IncarnationId &peer)
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Base::Step::Forward,
                 .peer = peer.text(),
                 .ran = Base::Ran::MayHaveRun,
                 .message = "the owner of the parent's partition was lost before it answered"};
}

Error outputChangedError()
{
    return Error{.code = ErrorCode::Unavailable,
                 .step = Base::Step::Recover,
                 .ran = Base::Ran::Ran,
                 .message = "the call was run again by another daemon and its output differs from "
                            "what was streamed; repeat the call to get the recorded answer"};
}

} // namespace

const Base::ProgramId &programOf(const ForwardedBody &body)
{
    return std::visit(
        Visitor{[](const CreateUnderId &create) -> const Base::ProgramId & {
                    return create.request.parent ? *create.request.parent : create.program;
                },
                [](const auto &request) -> const Base::ProgramId & { return request.program; }},
        body);
}

CallRouter::CallRouter(Base::IncarnationId self,
                       std::uint16_t partitionCount,
                       OwnerLookup ownerOf,
                       CallRouterSettings settings)
    : self_(std::move(self))
    , partitionCount_(partitionCount)
    , ownerOf_(std::move(ownerOf))
    , settings_(settings)
{}

void CallRouter::submit(RoutedCall call, Instant now)
{
    const RequestId request = call.request;
    Pending pending;
    pending.call = std::move(call);
    pending.due = now;
    const auto [entry, isNew] = pending_.emplace(request, std::move(pending));
    if (isNew) {
        due_.emplace(now, request);
        route(entry->second, now);
    }
}

void CallRouter::schedule(Pending &pending, Instant due)
{
    due_.erase({pending.due, pending.call.request});
    pending.due = due;
    due_.emplace(due, pending.call.request);
}

void CallRouter::route(Pending &pending, Instant now)
{
    const Base::ProgramId &program = programOf(pending.call.body);
    const auto owner = ownerOf_(Base::partitionOf(program, partitionCount_));
    if (!owner) {
        pending.routedTo.reset();
        retryLater(pending, noOwnerError(program), now);
        return;
    }
    if (pending.routedTo != owner->incarnation) {
        pending.attemptBytes = 0;
    }
    pending.routedTo = owner->incarnation;
    ForwardedRequest request{
        pending.call.request, pending.call.holder.team, pending.call.holder.key, pending.call.body};
    schedule(pending, now + settings_.confirmInterval);
    if (owner->incarnation == self_) {
        actions_.emplace_back(RouteLocal{std::move(request)});
    } else {
        actions_.emplace_back(RouteRemote{owner->incarnation, std::move(request)});
    }
}

void CallRouter::retryLater(Pending &pending, const Error &error, Instant now)
{
    if (!pending.retryDeadline) {
        pending.retryDeadline = now + settings_.routeTimeout;
    }
    if (now >= *pending.retryDeadline) {
        Error last = error;
        if (pending.isInDoubt) {
            last.ran = Base::Ran::MayHaveRun;
        }
        finish(pending.call.request, std::move(last));
        return;
    }
    schedule(pending, std::min(*pending.retryDeadline, now + settings_.retryInterval));
}

void CallRouter::replied(RequestId request, CallerReply reply, Instant now)
{
    const auto entry = pending_.find(request);
    if (entry == pending_.end()) {
        return;
    }
    Pending &pending = entry->second;
    if (const auto *error = std::get_if<Error>(&reply);
        error && shouldRetry(*error, pending.call.body)) {
        pending.routedTo.reset();
        pending.isInDoubt = pending.isInDoubt || error->ran != Base::Ran::NotRun;
        actions_.emplace_back(RefreshAssignment{});
        retryLater(pending, *error, now);
        return;
    }
    pending.retryDeadline.reset();
    if (const auto *output = std::get_if<CallerApi::OutputReply>(&reply)) {
        deliverOutput(pending, output->text);
        return;
    }
    if (auto *done = std::get_if<CallerApi::DoneReply>(&reply)) {
        deliverDone(pending, std::move(*done));
        return;
    }
    finish(request, std::move(reply));
}

bool CallRouter::isStream(const Pending &pending) const
{
    return pending.call.style == AnswerStyle::Events
           || pending.call.style == AnswerStyle::ChatEvents;
}

void CallRouter::deliverOutput(Pending &pending, const std::string &text)
{
    if (!isStream(pending)) {
        return;
    }
    // A new owner sends the output from its start; the part that the caller already has is skipped.
    const size_t known = std::min(text.size(), pending.delivered.size() - pending.attemptBytes);
    if (text.compare(0, known, pending.delivered, pending.attemptBytes, known) != 0) {
        finish(pending.call.request, outputChangedError());
        return;
    }
    pending.attemptBytes += text.size();
    if (known < text.size()) {
        pending.delivered.append(text, known);
        answer(pending, CallerApi::OutputReply{text.substr(known)});
    }
}

void CallRouter::deliverDone(Pending &pending, CallerApi::DoneReply done)
{
    const RequestId request = pending.call.request;
    const std::string &output = done.turn.output;
    if (isStream(pending) && !done.turn.error) {
        if (!output.starts_with(pending.delivered)) {
            finish(request, outputChangedError());
            return;
        }
        if (output.size() > pending.delivered.size()) {
            answer(pending, CallerApi::OutputReply{output.substr(pending.delivered.size())});
        }
    }
    finish(request, std::move(done));
}

void CallRouter::answer(const Pending &pending, CallerReply reply)
{
    actions_.emplace_back(AnswerCaller{pending.call.request, std::move(reply), pending.call.style});
}

void CallRouter::finish(RequestId request, CallerReply reply)
{
    const auto entry = pending_.find(request);
    answer(entry->second, std::move(reply));
    due_.erase({entry->second.due, request});
    pending_.erase(entry);
}

void CallRouter::callerGone(RequestId request)
{
    const auto entry = pending_.find(request);
    if (entry == pending_.end()) {
        return;
    }
    const Pending &pending = entry->second;
    if (pending.routedTo == self_) {
        actions_.emplace_back(CancelLocal{request});
    } else if (pending.routedTo) {
        actions_.emplace_back(CancelRemote{*pending.routedTo, request});
    }
    due_.erase({pending.due, request});
    pending_.erase(entry);
}

void CallRouter::deliveryFailed(RequestId request, const Base::IncarnationId &peer, Instant now)
{
    const auto entry = pending_.find(request);
    if (entry == pending_.end() || entry->second.routedTo != peer) {
        return;
    }
    Pending &pending = entry->second;
    if (!isRepeatable(pending.call.body)) {
        finish(request, ownerLostError(peer));
        return;
    }
    pending.routedTo.reset();
    pending.isInDoubt = true;
    retryLater(pending, noOwnerError(programOf(pending.call.body)), now);
}

void CallRouter::ownersChanged(Instant now)
{
    std::vector<RequestId> moved;
    for (const auto &[request, pending] : pending_) {
        const auto owner
            = ownerOf_(Base::partitionOf(programOf(pending.call.body), partitionCount_));
        if (pending.routedTo && owner && pending.routedTo != owner->incarnation) {
            moved.push_back(request);
        }
    }
    std::sort(moved.begin(), moved.end());
    for (const RequestId request : moved) {
        Pending &pending = pending_.at(request);
        if (isRepeatable(pending.call.body)) {
            pending.isInDoubt = true;
            route(pending, now);
        } else {
            finish(request, ownerLostError(*pending.routedTo));
        }
    }
}

void CallRouter::tick(Instant now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        const RequestId request = due_.begin()->second;
        Pending &pending = pending_.at(request);
        const bool isConfirming = pending.routedTo.has_value();
        const bool isLocal = pending.routedTo == self_;
        if (isConfirming && (isLocal || !isRepeatable(pending.call.body))) {
            schedule(pending, now + settings_.confirmInterval);
            continue;
        }
        route(pending, now);
    }
}

std::optional<Instant> CallRouter::nextWakeUp() const
{
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

std::vector<CallRouterAction> CallRouter::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Scheduler
