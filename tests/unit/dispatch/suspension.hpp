#pragma once

#include "base/time.hpp"

namespace jujubedrum
{

/// Simulates a suspension of the machine: CLOCK_BOOTTIME advances by this time
/// in the whole test program, other clocks stand still.
void simulate_suspension(seconds time);

} // namespace jujubedrum
