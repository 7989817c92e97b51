#pragma once

#include <cstdint>
#include <string_view>

namespace Base {

/// Deterministic generator (SplitMix64); a seed yields the same numbers on every machine.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : state_(seed)
    {}

    std::uint64_t next();

    /// Uniform in [0, bound); 0 if the bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform in [0, 1).
    double unit();

    bool chance(double probability) { return unit() < probability; }

private:
    std::uint64_t state_;
};

/// XXH3 hash of the text, mixed with a seed.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

} // namespace Base
