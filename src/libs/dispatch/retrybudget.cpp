#include "retrybudget.h"

#include <algorithm>

namespace Dispatch {

void RetryBudget::succeeded()
{
    balance_ = std::min(balance_ + ratio_, reserve_);
}

bool RetryBudget::withdraw()
{
    if (balance_ < 1) {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace Dispatch
