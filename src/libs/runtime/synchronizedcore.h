#pragma once

#include "daemonclock.h"

#include <scheduler/daemoncore.h>

#include <deque>
#include <functional>
#include <mutex>

namespace Runtime {

/// Serializes access to a DaemonCore from any thread and executes its actions in order, outside of
/// the lock.
///
/// Lock order: the core's mutex is locked before any other mutex, and is not held while actions are
/// executed.
class SynchronizedCore
{
public:
    using Executor = std::function<void(Scheduler::CoreAction &)>;

    SynchronizedCore(const Scheduler::CoreSettings &settings, Executor executor);

    /// Passes an event to the core. The resulting actions are executed before this returns, unless
    /// another thread is executing actions; that thread then executes these too.
    void with(const std::function<void(Scheduler::DaemonCore &, Base::Instant now)> &event);

    /// Returns the result of a read-only query.
    template<typename Query>
    auto query(Query query) const
    {
        const std::lock_guard lock(mutex_);
        return query(core_);
    }

    /// Time at which the next tick() is due.
    Base::Instant nextWakeUp() const;
    Base::Instant now() const { return clock_.now(); }

private:
    DaemonClock clock_;
    Executor executor_;
    mutable std::mutex mutex_;
    Scheduler::DaemonCore core_;
    std::deque<Scheduler::CoreAction> queue_;
    bool isExecuting_ = false;
};

} // namespace Runtime
