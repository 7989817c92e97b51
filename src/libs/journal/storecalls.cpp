#include "storecalls.h"

#include <base/visitor.h>

#include <algorithm>

namespace Journal {

StoreCalls::StoreCalls(Base::Duration timeout, Base::Duration retryInterval)
    : timeout_(timeout)
    , retryInterval_(retryInterval)
{}

StoreCallId StoreCalls::get(const Platform::ObjectKey &key, Base::Instant now)
{
    return add({std::nullopt, Platform::GetObject{key}}, now);
}

StoreCallId StoreCalls::put(Platform::PutObject put, Base::Instant now)
{
    Platform::ConditionalWriter writer(std::move(put));
    Platform::StoreOperation first = writer.start();
    return add({std::move(writer), std::move(first)}, now);
}

StoreCallId StoreCalls::remove(const Platform::ObjectKey &key, Base::Instant now)
{
    return add({std::nullopt, Platform::DeleteObject{key}}, now);
}

StoreCallId StoreCalls::add(Call call, Base::Instant now)
{
    lastCall_ = lastCall_.next();
    Call &added = calls_.emplace(lastCall_, std::move(call)).first->second;
    send(added, now);
    return lastCall_;
}

void StoreCalls::send(Call &call, Base::Instant now)
{
    lastRequest_ = lastRequest_.next();
    call.request = lastRequest_;
    call.isSent = true;
    call.due = now + timeout_;
    if (!call.writer) {
        requests_.push_back({lastRequest_, call.operation});
        return;
    }
    // The writer recreates the operation for a retry, so the body is not held a third time.
    requests_.push_back({lastRequest_, std::exchange(call.operation, {})});
}

void StoreCalls::scheduleRetry(Call &call, Base::Instant now)
{
    call.isSent = false;
    call.isUnanswered = true;
    call.due = now + retryInterval_;
}

std::optional<FinishedCall> StoreCalls::handle(const Platform::StoreReply &reply, Base::Instant now)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(), [&](const auto &entry) {
        return entry.second.isSent && entry.second.request == reply.id;
    });
    if (found == calls_.end()) {
        return std::nullopt;
    }
    const StoreCallId id = found->first;
    std::optional<StoreResult> result = handleOutcome(found->second, reply.outcome, now);
    if (!result) {
        return std::nullopt;
    }
    calls_.erase(id);
    return FinishedCall{id, std::move(*result)};
}

std::optional<StoreResult> StoreCalls::handleOutcome(Call &call,
                                                     const Platform::StoreOutcome &outcome,
                                                     Base::Instant now)
{
    if (call.writer) {
        return handleWriteOutcome(call, outcome, now);
    }
    return std::visit(
        Base::Visitor{[](const Platform::ObjectFound &found) -> std::optional<StoreResult> {
                          return ReadAnswered{found.object};
                      },
                      [](const Platform::ObjectAbsent &) -> std::optional<StoreResult> {
                          return ReadAnswered{};
                      },
                      [](const Platform::ObjectDeleted &) -> std::optional<StoreResult> {
                          return DeleteAnswered{};
                      },
                      [&](const auto &) -> std::optional<StoreResult> {
                          scheduleRetry(call, now);
                          return std::nullopt;
                      }},
        outcome);
}

std::optional<StoreResult> StoreCalls::handleWriteOutcome(Call &call,
                                                          const Platform::StoreOutcome &outcome,
                                                          Base::Instant now)
{
    Platform::WriteProgress progress = call.writer->handle(outcome);
    return std::visit(
        Base::Visitor{
            [](Platform::WriteConfirmed &confirmed) -> std::optional<StoreResult> {
                return confirmed;
            },
            [](Platform::WriteLost &lost) -> std::optional<StoreResult> { return std::move(lost); },
            [&](Platform::WriteContinues &next) -> std::optional<StoreResult> {
                call.operation = std::move(next.operation);
                call.isUnanswered = false;
                send(call, now);
                return std::nullopt;
            },
            [&](Platform::WriteUnresolved &) -> std::optional<StoreResult> {
                scheduleRetry(call, now);
                return std::nullopt;
            }},
        progress);
}

void StoreCalls::tick(Base::Instant now)
{
    for (auto &[id, call] : calls_) {
        if (call.due > now) {
            continue;
        }
        if (!call.isSent) {
            if (call.writer) {
                call.operation = call.writer->retry();
            }
            send(call, now);
        } else if (call.writer) {
            call.writer->handle(Platform::StoreUnavailable{});
            scheduleRetry(call, now);
        } else {
            scheduleRetry(call, now);
        }
    }
}

std::optional<Base::Instant> StoreCalls::nextWakeUp() const
{
    std::optional<Base::Instant> earliest;
    for (const auto &[id, call] : calls_) {
        earliest = earliest ? std::min(*earliest, call.due) : call.due;
    }
    return earliest;
}

std::vector<Platform::StoreRequest> StoreCalls::takeRequests()
{
    return std::exchange(requests_, {});
}

bool StoreCalls::hasUnanswered() const
{
    return std::any_of(
        calls_.begin(), calls_.end(), [](const auto &entry) { return entry.second.isUnanswered; });
}

} // namespace Journal
