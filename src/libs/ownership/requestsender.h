#pragma once

#include <platform/store.h>

#include <utility>
#include <vector>

namespace Ownership {

/// Numbers the requests of one daemon's ownership to the store and collects them.
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
