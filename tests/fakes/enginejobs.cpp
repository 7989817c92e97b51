#include "enginejobs.h"

#include <base/random.h>

#include <algorithm>

namespace Fakes {

namespace {

using Clock = std::chrono::steady_clock;

Clock::duration seconds(double amount)
{
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(amount));
}

} // namespace

std::int64_t nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct EngineJobs::Job
{
    Request request;
    Generation generation;
    EngineFault fault = EngineFault::None;
    PeerSocket peer;
    std::optional<StreamBuilder> stream;
    std::shared_ptr<asio::steady_timer> timer;
    Clock::time_point firstTokenAt;
    std::int64_t cachedTokens = 0;
    std::size_t produced = 0;
};

EngineJobs::EngineJobs(const EngineSettings &settings,
                       HttpServer &server,
                       PrefixCache &cache,
                       std::recursive_mutex &mutex)
    : settings_(settings)
    , server_(server)
    , cache_(cache)
    , mutex_(mutex)
{}

void EngineJobs::submit(const Request &request, Generation generation, EngineFault fault)
{
    auto job = std::make_shared<Job>();
    job->request = request;
    job->generation = std::move(generation);
    job->fault = fault;
    job->peer = PeerSocket(request, server_.port());
    waiting_.push_back(std::move(job));
    startWaiting();
}

void EngineJobs::startWaiting()
{
    while (!waiting_.empty() && running() < settings_.slots) {
        const JobPointer job = waiting_.front();
        waiting_.pop_front();
        begin(job);
    }
}

void EngineJobs::begin(const JobPointer &job)
{
    const auto promptTokens = static_cast<std::int64_t>(job->generation.prompt.size());
    job->cachedTokens = cache_.match(job->generation.program, job->generation.prompt);
    const std::int64_t missing = promptTokens - job->cachedTokens;
    counters_.cacheHitTokens += static_cast<std::uint64_t>(job->cachedTokens);
    counters_.prefilledTokens += static_cast<std::uint64_t>(missing);
    const double prefill = static_cast<double>(missing) / settings_.prefillTokensPerSecond;
    job->firstTokenAt = Clock::now() + seconds(prefill + settings_.msPerToken / 1000);
    job->timer = std::make_shared<asio::steady_timer>(server_.context());
    running_.push_back(job);
    scheduleToken(job);
}

void EngineJobs::scheduleToken(const JobPointer &job)
{
    const double offset = static_cast<double>(job->produced) * settings_.msPerToken / 1000;
    job->timer->expires_at(job->firstTokenAt + seconds(offset));
    job->timer->async_wait([this, job](const asio::error_code &error) {
        if (!error) {
            const std::lock_guard lock(mutex_);
            produceToken(job);
        }
    });
}

void EngineJobs::produceToken(const JobPointer &job)
{
    const Generation &generation = job->generation;
    if (breaksHere(*job)) {
        return breakConnection(job);
    }
    if (job->produced >= generation.output.size()) {
        return finish(job);
    }
    if (generation.isStream) {
        if (!job->stream) {
            job->stream.emplace(startStream(job->request, "text/event-stream"));
        }
        job->stream->append_chunk(tokenEvent(generation, job->produced));
        job->stream->flush();
    }
    ++job->produced;
    if (job->produced == generation.output.size() && !breaksHere(*job)) {
        return finish(job);
    }
    scheduleToken(job);
}

bool EngineJobs::breaksHere(const Job &job) const
{
    return job.fault == EngineFault::HalfStream && job.produced >= job.generation.output.size() / 2;
}

void EngineJobs::breakConnection(const JobPointer &job)
{
    keepContext(*job, job->produced);
    // What was written last has to leave before the connection breaks.
    const auto timer
        = std::make_shared<asio::steady_timer>(server_.context(), std::chrono::milliseconds(20));
    timer->async_wait([timer, job](const asio::error_code &error) {
        if (!error) {
            job->peer.shutDown();
            job->stream.reset();
        }
    });
    leave(job);
}

void EngineJobs::finish(const JobPointer &job)
{
    keepContext(*job, job->produced);
    ++counters_.completed;
    if (!job->generation.isStream) {
        answer(job->request, 200, wholeAnswer(job->generation, job->cachedTokens));
    } else {
        if (!job->stream) {
            job->stream.emplace(startStream(job->request, "text/event-stream"));
        }
        job->stream->append_chunk(closingEvents(job->generation, job->cachedTokens));
        job->stream->done();
    }
    leave(job);
}

void EngineJobs::abandon(const JobPointer &job)
{
    ++counters_.cancelled;
    if (job->timer) {
        job->timer->cancel();
    }
    if (job->stream) {
        job->stream->done();
    }
    leave(job);
}

void EngineJobs::leave(const JobPointer &job)
{
    running_.remove(job);
    startWaiting();
}

void EngineJobs::keepContext(const Job &job, std::size_t outputTokens)
{
    std::vector<TokenHash> context = job.generation.prompt;
    for (std::size_t i = 0; i < outputTokens; ++i) {
        const std::string &piece = job.generation.output[i];
        const std::string word = piece.substr(piece.starts_with(' ') ? 1 : 0);
        context.push_back(static_cast<TokenHash>(Base::hash64(word)));
    }
    cache_.store(job.generation.program, std::move(context), nowMs());
}

void EngineJobs::sweep()
{
    std::vector<JobPointer> gone;
    const auto isGone = [](const JobPointer &job) { return job->peer.isClosedByPeer(); };
    std::copy_if(running_.begin(), running_.end(), std::back_inserter(gone), isGone);
    counters_.cancelled += std::erase_if(waiting_, isGone);
    for (const JobPointer &job : gone) {
        abandon(job);
    }
}

void EngineJobs::clear()
{
    for (const JobPointer &job : running_) {
        job->timer->cancel();
        job->stream.reset();
    }
    running_.clear();
    waiting_.clear();
}

EngineCounters EngineJobs::counters() const
{
    EngineCounters counters = counters_;
    counters.running = running();
    counters.queued = queued();
    return counters;
}

} // namespace Fakes
