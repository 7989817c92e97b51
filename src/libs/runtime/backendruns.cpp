#include "backendruns.h"

#include "prompt.h"

#include <base/visitor.h>

namespace Runtime {

namespace {

using Backends::FlowControl;
using Base::Instant;
using Base::Visitor;
using Dispatch::DispatchId;
using Scheduler::DaemonCore;

constexpr Base::Duration connectTimeout = std::chrono::milliseconds(500);

Backends::Timeout toTimeout(Base::Duration duration)
{
    return std::chrono::ceil<Backends::Timeout>(duration);
}

std::string baseUrl(const std::string &address)
{
    return "http://" + address;
}

bool isServerFault(const Base::Error &error)
{
    return error.code != Base::ErrorCode::Cancelled;
}

std::string contentTypeOf(const Backends::PlainReply &reply)
{
    for (const Backends::HttpHeader &header : reply.headers) {
        if (header.name == "content-type" || header.name == "Content-Type") {
            return header.value;
        }
    }
    return "application/octet-stream";
}

} // namespace

BackendRuns::BackendRuns(Backends::HttpClient &http, SynchronizedCore &core)
    : core_(core)
    , engines_(http)
    , services_(http)
    , http_(http)
{}

void BackendRuns::started(DispatchId id, Backends::HttpRequestId request)
{
    const std::lock_guard lock(mutex_);
    const auto entry = running_.find(id);
    if (entry != running_.end()) {
        entry->second = request;
    }
}

void BackendRuns::ended(DispatchId id)
{
    const std::lock_guard lock(mutex_);
    running_.erase(id);
}

void BackendRuns::run(const Scheduler::RunModelCall &call)
{
    {
        const std::lock_guard lock(mutex_);
        running_.insert_or_assign(call.id, std::nullopt);
    }
    Backends::ModelCall request;
    request.engine = {call.server, baseUrl(call.address)};
    request.program = call.program;
    request.model = call.model;
    request.messages = promptMessages(call.history.get(), call.input);
    request.maxOutputTokens = call.outputLimit;
    request.timeouts.connect = toTimeout(connectTimeout);
    request.timeouts.total = toTimeout(call.timeout);
    request.timeouts.idle = toTimeout(call.timeout);
    const DispatchId id = call.id;
    started(id, engines_.call(request, [this, id](const Backends::ModelEvent &event) {
        return modelEvent(id, event);
    }));
}

FlowControl BackendRuns::modelEvent(DispatchId id, const Backends::ModelEvent &event)
{
    std::visit(Visitor{[&](const Backends::TokenPiece &piece) {
                           core_.with([&](DaemonCore &core, Instant now) {
                               core.outputReceived(id, piece.text, now);
                           });
                       },
                       [&](const Backends::ModelDone &done) {
                           ended(id);
                           Dispatch::Usage usage;
                           usage.promptTokens = done.promptTokens;
                           usage.outputTokens = done.outputTokens;
                           core_.with([&](DaemonCore &core, Instant now) {
                               core.modelFinished(id, usage, now);
                           });
                       },
                       [&](const Backends::ModelFailed &failed) {
                           ended(id);
                           core_.with([&](DaemonCore &core, Instant now) {
                               core.runFailed(id, {failed.error, isServerFault(failed.error)}, now);
                           });
                       }},
               event);
    return FlowControl::Continue;
}

void BackendRuns::run(const Scheduler::RunPlainCall &call)
{
    {
        const std::lock_guard lock(mutex_);
        running_.insert_or_assign(call.id, std::nullopt);
    }
    Backends::PlainCall request;
    request.server = call.server;
    request.baseUrl = baseUrl(call.address);
    request.method = call.method;
    request.target = Backends::HeaderFilter(std::string()).filterTarget(call.target);
    if (!call.contentType.empty()) {
        request.headers.push_back({"Content-Type", call.contentType});
    }
    if (!call.callName.empty()) {
        request.headers.push_back({"Idempotency-Key", call.callName});
    }
    request.body = call.body;
    request.isIdempotent = call.isIdempotent;
    request.connectTimeout = toTimeout(connectTimeout);
    request.totalTimeout = toTimeout(call.timeout);
    const DispatchId id = call.id;
    started(id, services_.call(request, [this, id](Base::Result<Backends::PlainReply> result) {
        ended(id);
        core_.with([&](DaemonCore &core, Instant now) {
            if (!result) {
                core.runFailed(id, {result.error(), isServerFault(result.error())}, now);
                return;
            }
            Backends::PlainReply &reply = result.value();
            core.plainFinished(
                id, {reply.status, contentTypeOf(reply), std::move(reply.body)}, now);
        });
    }));
}

void BackendRuns::cancel(DispatchId id)
{
    std::optional<Backends::HttpRequestId> request;
    {
        const std::lock_guard lock(mutex_);
        const auto entry = running_.find(id);
        if (entry != running_.end()) {
            request = entry->second;
        }
    }
    if (request) {
        http_.cancel(*request);
    }
}

void BackendRuns::release(const Scheduler::ReleaseEngineCache &action)
{
    const Base::ServerId server = action.server;
    const Base::ProgramId program = action.program;
    engines_.release({{server, baseUrl(action.address)}, program, action.epoch},
                     [this, server, program](Backends::OrderOutcome outcome) {
                         if (outcome != Backends::OrderOutcome::Confirmed) {
                             return;
                         }
                         core_.with([&](DaemonCore &core, Instant now) {
                             core.memoryReleased(server, program, now);
                         });
                     });
}

void BackendRuns::probe(const Scheduler::ProbeServer &probe)
{
    const Base::ServerId server = probe.server;
    if (probe.kind == Contracts::ServiceKind::Model) {
        engines_.loadReport({server, baseUrl(probe.address)},
                            [this, server](const Base::Result<Backends::LoadReport> &report) {
                                core_.with([&](DaemonCore &core, Instant now) {
                                    core.probed(server, report.has_value(), now);
                                    if (report) {
                                        Scheduler::EngineLoadReport load;
                                        load.server = server;
                                        load.running
                                            = static_cast<std::uint32_t>(report.value().running);
                                        load.queued
                                            = static_cast<std::uint32_t>(report.value().queued);
                                        load.measuredAt = now - report.value().age;
                                        load.cachedPrograms = report.value().cachedPrograms;
                                        core.engineLoadReported(load, now);
                                    }
                                });
                            });
        return;
    }
    Backends::PlainCall request;
    request.server = server;
    request.baseUrl = baseUrl(probe.address);
    request.isIdempotent = true;
    request.connectTimeout = toTimeout(connectTimeout);
    request.totalTimeout = toTimeout(std::chrono::seconds(2));
    services_.call(request, [this, server](const Base::Result<Backends::PlainReply> &reply) {
        core_.with([&](DaemonCore &core, Instant now) {
            core.probed(server, reply.has_value() && reply.value().status < 500, now);
        });
    });
}

} // namespace Runtime
