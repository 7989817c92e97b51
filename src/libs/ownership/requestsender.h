#pragma once

#include <platform/store.h>

#include <utility>
#include <vector>

namespace Ownership {

/// Assigns ids to ownership's requests to the store and queues them.
class RequestSender
{
public:
    Platform::StoreRequestId send(Platform::StoreOperation operation)
    {
        last_ = last_.next();
        requests_.push_back({last_, std::move(operation)});
        return last_;
    }

    std::vector<Platform::StoreRequest> take() { return std::exchange(requests_, {}); }

private:
    Platform::StoreRequestId last_;
    std::vector<Platform::StoreRequest> requests_;
};

} // namespace Ownership
