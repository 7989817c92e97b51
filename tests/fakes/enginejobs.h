#pragma once

#include "enginefake.h"
#include "generation.h"
#include "httpserver.h"

#include <deque>
#include <list>
#include <mutex>
#include <optional>

namespace Fakes {

/// The generations of the model engine's stand-in: slots, queue, prefill and tokens over time.
/// Everything runs in the server's thread.
class EngineJobs
{
public:
    /// The mutex guards the jobs, also while their timers run.
    EngineJobs(const EngineSettings &settings,
               HttpServer &server,
               PrefixCache &cache,
               std::recursive_mutex &mutex);

    void submit(const Request &request, Generation generation, EngineFault fault);
    /// Notices callers that went away; call it from time to time.
    void sweep();
    void clear();

    int running() const { return static_cast<int>(running_.size()); }
    int queued() const { return static_cast<int>(waiting_.size()); }
    /// Totals, without the figures of the cache.
    EngineCounters counters() const;

private:
    struct Job;
    using JobPointer = std::shared_ptr<Job>;

    void startWaiting();
    void begin(const JobPointer &job);
    void scheduleToken(const JobPointer &job);
    void produceToken(const JobPointer &job);
    bool breaksHere(const Job &job) const;
    void breakConnection(const JobPointer &job);
    void finish(const JobPointer &job);
    void abandon(const JobPointer &job);
    void leave(const JobPointer &job);
    void keepContext(const Job &job, std::size_t outputTokens);

    const EngineSettings &settings_;
    HttpServer &server_;
    PrefixCache &cache_;
    std::recursive_mutex &mutex_;
    std::list<JobPointer> running_;
    std::deque<JobPointer> waiting_;
    EngineCounters counters_;
};

std::int64_t nowMs();

} // namespace Fakes
