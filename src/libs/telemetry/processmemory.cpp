#include "processmemory.h"

#include <fstream>

#include <unistd.h>

namespace Telemetry {

std::optional<Base::Bytes> residentMemory()
{
    std::ifstream statistics("/proc/self/statm");
    std::int64_t totalPages = 0;
    std::int64_t residentPages = 0;
    if (!(statistics >> totalPages >> residentPages)) {
        return std::nullopt;
    }
    return Base::Bytes(residentPages * sysconf(_SC_PAGESIZE));
}

} // namespace Telemetry
