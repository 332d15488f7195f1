#pragma once

#include "base/time.hpp"

namespace jujubedrum
{

/// A caller whose attempt failed tries again after this time, at any instance.
/// Runs of the failed attempt must have ended by then.
constexpr milliseconds min_next_attempt_delay{1300};

} // namespace jujubedrum
