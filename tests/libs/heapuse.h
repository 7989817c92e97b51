#pragma once

#include <malloc.h>

#include <cstddef>

/// Bytes of the heap that are in use by this process.
inline std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}
