#include "programdeadlines.h"

namespace Admission {

void ProgramDeadlines::programStarted(const Base::ProgramId &program,
                                      Base::Duration objective,
                                      Base::Instant now)
{
    const auto useful
        = std::chrono::duration<double>(Base::toSeconds(objective) * settings_.usefulFactor);
    const Base::Instant end = now + std::chrono::duration_cast<Base::Duration>(useful);
    if (!ends_.emplace(program, end).second) {
        return;
    }
    order_.push_back(program);
    if (order_.size() > settings_.maxPrograms) {
        ends_.erase(order_.front());
        order_.pop_front();
    }
}

bool ProgramDeadlines::isTooLate(const Base::ProgramId &program, Base::Instant now) const
{
    const auto end = ends_.find(program);
    return end != ends_.end() && now >= end->second;
}

} // namespace Admission
