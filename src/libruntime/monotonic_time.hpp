#pragma once

#include "base/time.hpp"

namespace jujubedrum
{

/// Returns the time of a monotonic clock that counts suspensions of the
/// machine. The steady clock stands still in them, while callers' limits and
/// leases on backend servers go on.
[[nodiscard]] instant monotonic_now();

} // namespace jujubedrum
