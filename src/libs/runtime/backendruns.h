#pragma once

#include "coreguard.h"

#include <backends/engineclient.h>
#include <backends/headerfilter.h>
#include <backends/plainserviceclient.h>

#include <unordered_map>

namespace Runtime {

/// Carries out the core's runs and orders at backend servers.
class BackendRuns
{
public:
    BackendRuns(Backends::HttpClient &http, CoreGuard &core);

    void run(const Scheduler::RunModelCall &call);
    void run(const Scheduler::RunPlainCall &call);
    void cancel(Dispatch::DispatchId id);
    void release(const Scheduler::ReleaseEngine &order);
    void probe(const Scheduler::ProbeServer &probe);

private:
    Backends::FlowControl modelEvent(Dispatch::DispatchId id, const Backends::ModelEvent &event);
    void started(Dispatch::DispatchId id, Backends::HttpRequestId request);
    void ended(Dispatch::DispatchId id);

    CoreGuard &core_;
    Backends::EngineClient engines_;
    Backends::PlainServiceClient services_;
    Backends::HttpClient &http_;
    std::mutex mutex_;
    /// Runs under way; an empty entry was ended before its start returned.
    std::unordered_map<Dispatch::DispatchId, std::optional<Backends::HttpRequestId>> running_;
};

} // namespace Runtime
