#pragma once

#include "receivedrequest.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <vector>

namespace Fakes {

/// The latest requests that a stand-in received.
class RequestLog
{
public:
    void add(ReceivedRequest request)
    {
        if (requests_.size() == capacity) {
            requests_.pop_front();
        }
        requests_.push_back(std::move(request));
    }

    std::vector<ReceivedRequest> requests() const { return {requests_.begin(), requests_.end()}; }

private:
    static constexpr std::size_t capacity = 5000;

    std::deque<ReceivedRequest> requests_;
};

nlohmann::json toJson(const std::vector<ReceivedRequest> &requests);

} // namespace Fakes
