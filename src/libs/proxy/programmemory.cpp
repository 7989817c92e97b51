#include "programmemory.h"

namespace Proxy {

namespace {

/// A minute of new programs at a daemon, at 60 a second; about 0.5 MB.
constexpr std::size_t rememberedPrograms = 4096;

} // namespace

void ProgramMemory::add(const Base::ProgramId &program)
{
    if (const auto place = places_.find(program); place != places_.end()) {
        recent_.splice(recent_.begin(), recent_, place->second);
        return;
    }
    recent_.push_front(program);
    places_.emplace(program, recent_.begin());
    if (places_.size() > rememberedPrograms) {
        places_.erase(recent_.back());
        recent_.pop_back();
    }
}

} // namespace Proxy
