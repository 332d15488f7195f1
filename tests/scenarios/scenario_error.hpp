#pragma once

#include <stdexcept>

namespace jujubedrum
{

/// Thrown when a step cannot be run or an expected condition is not met in
/// time.
class scenario_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jujubedrum
