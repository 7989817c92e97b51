#include "random.h"

#include <xxhash.h>

namespace Base {

std::uint64_t Random::next()
{
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::unit()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace Base
