#pragma once

#include <base/types.h>

#include <list>
#include <unordered_map>

namespace Proxy {

/// Bounded set of programs with admitted requests; evicts the least recently used program.
class RecentPrograms
{
public:
    bool contains(const Base::ProgramId &program) const { return positions_.contains(program); }
    void add(const Base::ProgramId &program);

private:
    std::list<Base::ProgramId> recent_;
    std::unordered_map<Base::ProgramId, std::list<Base::ProgramId>::iterator> positions_;
};

} // namespace Proxy
