#pragma once

#include "base/reason.hpp"

namespace jujubedrum
{

/// Error codes of calls to an entry instance.
enum class entry_error
{
    none,
    unreachable, ///< no connection; the call had no effect
    unanswered,  ///< no complete reply; the call may have taken effect
};

/// Reason why a call failed; `where()` is its method and path.
using entry_reason = basic_reason<entry_error>;

} // namespace jujubedrum
