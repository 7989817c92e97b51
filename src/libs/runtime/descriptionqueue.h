#pragma once

#include <scheduler/daemoncore.h>

#include <deque>
#include <optional>
#include <unordered_set>

namespace Runtime {

/// Lets a few descriptions of programs be made at a time; the others wait in order. A description
/// has the size of the program's history, and everything that the daemon does waits behind it.
class DescriptionQueue
{
public:
    explicit DescriptionQueue(std::size_t maxRunning)
        : maxRunning_(maxRunning)
    {}

    /// Returns the call if it may start now.
    std::optional<Scheduler::IncomingCall> add(Scheduler::IncomingCall call);
    /// Removes a call that was answered or whose caller is gone, if it is one of these. Returns the
    /// next call that may start.
    std::optional<Scheduler::IncomingCall> remove(Base::RequestId id);

private:
    std::size_t maxRunning_ = 0;
    std::unordered_set<Base::RequestId> running_;
    std::deque<Scheduler::IncomingCall> waiting_;
};

} // namespace Runtime
