#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

/// Collects values from another thread in order.
template<typename Value>
class Arrivals
{
public:
    void add(Value value)
    {
        const std::lock_guard lock(mutex_);
        values_.push_back(std::move(value));
        changed_.notify_all();
    }

    /// Waits up to ten seconds for the first count values; returns fewer after that.
    std::vector<Value> first(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(10), [&] { return values_.size() >= count; });
        return values_;
    }

    std::vector<Value> now()
    {
        const std::lock_guard lock(mutex_);
        return values_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Value> values_;
};

/// Polls the condition for up to ten seconds.
inline bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}
