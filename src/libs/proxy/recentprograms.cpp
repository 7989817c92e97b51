#include "recentprograms.h"

namespace Proxy {

namespace {

/// About one minute of new programs at 60 per second on one daemon; takes about 0.5 MB.
constexpr std::size_t maxPrograms = 4096;

} // namespace

void RecentPrograms::add(const Base::ProgramId &program)
{
    if (const auto position = positions_.find(program); position != positions_.end()) {
        recent_.splice(recent_.begin(), recent_, position->second);
        return;
    }
    recent_.push_front(program);
    positions_.emplace(program, recent_.begin());
    if (positions_.size() > maxPrograms) {
        positions_.erase(recent_.back());
        recent_.pop_back();
    }
}

} // namespace Proxy
