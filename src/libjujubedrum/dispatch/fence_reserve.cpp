#include "dispatch/fence_reserve.hpp"

namespace jujubedrum
{

std::optional<std::uint64_t>
fence_reserve::token_above(std::uint64_t token) const
{
    if (!this->first)
    {
        return std::nullopt;
    }
    if (token < *this->first)
    {
        return this->first;
    }
    const std::uint64_t steps = (token - *this->first) / derived_step + 1;
    if (steps >= tokens_per_fence / derived_step)
    {
        return std::nullopt;
    }
    return *this->first + steps * derived_step;
}

} // namespace jujubedrum
