#include "costmodel.h"

#include <algorithm>

namespace Dispatch {

void CostModel::responded(Base::Tokens missing, Base::Duration time)
{
    const double milliseconds = Base::toSeconds(time) * 1000;
    if (missing <= settings_.shortPrompt) {
        shortMs_ += settings_.weight * (milliseconds - shortMs_);
        return;
    }
    const double reading = milliseconds - shortMs_;
    if (missing < settings_.longPrompt || reading <= 0) {
        return;
    }
    const double observed = std::clamp(static_cast<double>(missing.value()) / reading,
                                       settings_.minTokensPerMs,
                                       settings_.maxTokensPerMs);
    // The mean is of times per token, as a mean of speeds would follow the fastest responses.
    const double timePerToken
        = 1 / tokensPerMs_ + settings_.weight * (1 / observed - 1 / tokensPerMs_);
    tokensPerMs_ = 1 / timePerToken;
}

double CostModel::readingMs(Base::Tokens missing, double running) const
{
    const double own = static_cast<double>(missing.value()) / tokensPerMs_;
    return own * (1 + settings_.delayShare * running);
}

} // namespace Dispatch
