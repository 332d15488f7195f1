#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Causes of a failed placement operation.
enum class placement_error
{
    none,
    invalid_server,
    unknown_policy,
};

/// Error of a placement operation that returned nothing.
using placement_reason = basic_reason<placement_error>;

} // namespace jujubedrum
