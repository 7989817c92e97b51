#include "synchronizedcore.h"

namespace Runtime {

SynchronizedCore::SynchronizedCore(const Scheduler::CoreSettings &settings, Executor executor)
    : executor_(std::move(executor))
    , core_(settings)
{}

void SynchronizedCore::with(
    const std::function<void(Scheduler::DaemonCore &, Base::Instant now)> &event)
{
    std::unique_lock lock(mutex_);
    event(core_, clock_.now());
    for (Scheduler::CoreAction &action : core_.takeActions()) {
        queue_.push_back(std::move(action));
    }
    if (isExecuting_) {
        return;
    }
    isExecuting_ = true;
    while (!queue_.empty()) {
        Scheduler::CoreAction action = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        executor_(action);
        lock.lock();
    }
    isExecuting_ = false;
}

Base::Instant SynchronizedCore::nextWakeUp() const
{
    const std::lock_guard lock(mutex_);
    return core_.nextWakeUp(clock_.now());
}

} // namespace Runtime
