#pragma once

#include <stdexcept>

namespace jujubedrum
{

/// A step that could not be run, or a condition that did not hold in time.
class scenario_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jujubedrum
