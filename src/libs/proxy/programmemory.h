#pragma once

#include <base/types.h>

#include <list>
#include <unordered_map>

namespace Proxy {

/// The programs that this daemon has admitted requests of, as many as fit; the least recent yield.
class ProgramMemory
{
public:
    bool contains(const Base::ProgramId &program) const { return places_.contains(program); }
    void add(const Base::ProgramId &program);

private:
    std::list<Base::ProgramId> recent_;
    std::unordered_map<Base::ProgramId, std::list<Base::ProgramId>::iterator> places_;
};

} // namespace Proxy
