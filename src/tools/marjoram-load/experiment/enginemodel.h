#pragma once

#include "scenario.h"

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace Experiment {

/// A call at a server.
struct Job
{
    Dispatch::DispatchId id;
    std::size_t dispatcher = 0;
    Base::ProgramId program;
    std::int64_t prefixTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Service time of a plain call.
    double seconds = 0;
};

/// A job that began to run.
struct RunningJob
{
    Job job;
    std::int64_t cachedTokens = 0;
    Base::Instant firstToken;
    Base::Instant end;
};

/// One server: a first-come queue before its slots, prompts processed one after another, and a
/// prefix cache that drops the programs used longest ago.
class EngineModel
{
public:
    EngineModel(Base::ServerId id, ServerGroup group);

    const Base::ServerId &id() const { return id_; }
    const ServerGroup &group() const { return group_; }

    /// Starts the job, or queues it if no slot is free.
    std::optional<RunningJob> submit(const Job &job, Base::Instant now);
    /// A job ended; its history is cached. Starts the next one in the queue.
    std::optional<RunningJob> ended(const RunningJob &done, Base::Instant now);
    void release(const Base::ProgramId &program);

    std::uint32_t running() const { return running_; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
    double busySeconds() const { return busySeconds_; }
    /// Programs that were dropped from the cache since the last call.
    std::vector<Base::ProgramId> takeEvicted() { return std::exchange(evicted_, {}); }

private:
    struct CacheEntry
    {
        std::int64_t tokens = 0;
        std::list<Base::ProgramId>::iterator place;
    };

    RunningJob start(const Job &job, Base::Instant now);
    void fill(const Base::ProgramId &program, std::int64_t tokens);

    Base::ServerId id_;
    ServerGroup group_;
    std::uint32_t running_ = 0;
    std::deque<Job> queue_;
    Base::Instant prefillFreeAt_;
    double busySeconds_ = 0;
    std::int64_t cachedTokens_ = 0;
    /// Most recently used first.
    std::list<Base::ProgramId> recent_;
    std::unordered_map<Base::ProgramId, CacheEntry> cache_;
    std::vector<Base::ProgramId> evicted_;
};

} // namespace Experiment
