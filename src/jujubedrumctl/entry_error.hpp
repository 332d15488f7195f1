#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Error codes of calls to an entry instance.
enum class entry_error
{
    none,
    unreachable, ///< no connection: the call had no effect
    unanswered,  ///< no whole reply: the call may have taken effect
};

/// Explains a failed call; `where()` is the method and path.
using entry_reason = basic_reason<entry_error>;

} // namespace jujubedrum
