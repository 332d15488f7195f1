#pragma once

#include <cstdint>
#include <random>

namespace jujubedrum
{

/// Seeded random number generator, injected so that runs are reproducible.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// Returns a uniform 64-bit value.
    std::uint64_t next() { return this->engine(); }

    /// Returns a uniform value in [0, bound); 0 if the bound is 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : this->engine() % bound;
    }

    /// Returns a uniform value in [0, 1).
    double unit()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
    }

private:
    std::mt19937_64 engine;
};

} // namespace jujubedrum
