#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Errors of the placement layer.
enum class placement_error
{
    none,
    invalid_server,
    unknown_policy,
};

/// Explains why a placement operation returned nothing.
using placement_reason = basic_reason<placement_error>;

} // namespace jujubedrum
