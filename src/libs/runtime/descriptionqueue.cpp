#include "descriptionqueue.h"

namespace Runtime {

std::optional<Scheduler::IncomingCall> DescriptionQueue::add(Scheduler::IncomingCall call)
{
    if (running_.size() >= maxRunning_) {
        waiting_.push_back(std::move(call));
        return std::nullopt;
    }
    running_.insert(call.request);
    return call;
}

std::optional<Scheduler::IncomingCall> DescriptionQueue::remove(Base::RequestId id)
{
    std::erase_if(waiting_,
                  [&](const Scheduler::IncomingCall &call) { return call.request == id; });
    if (running_.erase(id) == 0 || waiting_.empty()) {
        return std::nullopt;
    }
    Scheduler::IncomingCall next = std::move(waiting_.front());
    waiting_.pop_front();
    running_.insert(next.request);
    return next;
}

} // namespace Runtime
