#pragma once

#include "daemonclock.h"

#include <scheduler/daemoncore.h>

#include <deque>
#include <functional>
#include <mutex>

namespace Runtime {

/// Lets any thread give events to the core, one at a time, and carries out the core's actions in
/// the order in which they arose, outside of the lock.
///
/// Lock order: the core's mutex comes first and is never held while actions are carried out.
class CoreGuard
{
public:
    using Executor = std::function<void(Scheduler::CoreAction &)>;

    CoreGuard(const Scheduler::CoreSettings &settings, Executor executor);

    /// Runs the event on the core; actions that arise are carried out before this returns, or by
    /// the thread that is carrying out actions already.
    void with(const std::function<void(Scheduler::DaemonCore &, Base::Instant now)> &event);

    /// Runs a question that changes nothing.
    template<typename Question>
    auto ask(Question question) const
    {
        const std::lock_guard lock(mutex_);
        return question(core_);
    }

    /// When tick() is due next.
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
