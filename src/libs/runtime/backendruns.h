#pragma once

#include "synchronizedcore.h"

#include <backends/engineclient.h>
#include <backends/headerfilter.h>
#include <backends/plainserviceclient.h>

#include <unordered_map>

namespace Runtime {

/// Executes the core's actions at backend servers and reports their results to the core.
class BackendRuns
{
public:
    BackendRuns(Backends::HttpClient &http, SynchronizedCore &core);

    void run(const Scheduler::RunModelCall &call);
    void run(const Scheduler::RunPlainCall &call);
    void cancel(Dispatch::DispatchId id);
    void release(const Scheduler::ReleaseEngineCache &action);
    void probe(const Scheduler::ProbeServer &probe);

private:
    Backends::FlowControl modelEvent(Dispatch::DispatchId id, const Backends::ModelEvent &event);
    void started(Dispatch::DispatchId id, Backends::HttpRequestId request);
    void ended(Dispatch::DispatchId id);

    SynchronizedCore &core_;
    Backends::EngineClient engines_;
    Backends::PlainServiceClient services_;
    Backends::HttpClient &http_;
    std::mutex mutex_;
    /// Runs in progress. The HTTP request is empty until the client's call() has returned its id.
    std::unordered_map<Dispatch::DispatchId, std::optional<Backends::HttpRequestId>> running_;
};

} // namespace Runtime
