#include "enginemodel.h"

#include <algorithm>

namespace Experiment {

namespace {

Base::Duration seconds(double value)
{
    return Base::Duration(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

EngineModel::EngineModel(Base::ServerId id, ServerGroup group)
    : id_(std::move(id))
    , group_(std::move(group))
{}

std::optional<RunningJob> EngineModel::submit(const Job &job, Base::Instant now)
{
    if (running_ >= group_.slots) {
        queue_.push_back(job);
        return std::nullopt;
    }
    return start(job, now);
}

std::optional<RunningJob> EngineModel::ended(const RunningJob &done, Base::Instant now)
{
    running_--;
    if (group_.kind == Dispatch::ServiceKind::Model) {
        fill(done.job.program, done.job.promptTokens + done.job.outputTokens);
    }
    if (queue_.empty()) {
        return std::nullopt;
    }
    const Job next = queue_.front();
    queue_.pop_front();
    return start(next, now);
}

void EngineModel::release(const Base::ProgramId &program)
{
    const auto it = cache_.find(program);
    if (it == cache_.end()) {
        return;
    }
    cachedTokens_ -= it->second.tokens;
    recent_.erase(it->second.place);
    cache_.erase(it);
}

RunningJob EngineModel::start(const Job &job, Base::Instant now)
{
    running_++;
    RunningJob started{job, 0, now, now + seconds(job.seconds)};
    if (group_.kind == Dispatch::ServiceKind::Model) {
        const auto it = cache_.find(job.program);
        if (it != cache_.end()) {
            started.cachedTokens = std::min(it->second.tokens, job.prefixTokens);
            recent_.splice(recent_.begin(), recent_, it->second.place);
        }
        const auto computed = static_cast<double>(job.promptTokens - started.cachedTokens);
        prefillFreeAt_
            = std::max(prefillFreeAt_, now) + seconds(computed / group_.prefillPerSecond);
        started.firstToken = prefillFreeAt_;
        const auto output = static_cast<double>(job.outputTokens);
        started.end = prefillFreeAt_ + seconds(output * group_.secondsPerOutputToken);
    }
    busySeconds_ += Base::toSeconds(started.end - now);
    return started;
}

void EngineModel::fill(const Base::ProgramId &program, std::int64_t tokens)
{
    release(program);
    recent_.push_front(program);
    cache_[program] = CacheEntry{tokens, recent_.begin()};
    cachedTokens_ += tokens;
    while (cachedTokens_ > group_.cacheTokens && !recent_.empty()) {
        evicted_.push_back(recent_.back());
        release(evicted_.back());
    }
}

} // namespace Experiment
