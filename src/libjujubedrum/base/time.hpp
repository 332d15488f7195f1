#pragma once

#include <chrono>

namespace jujubedrum
{

/// Point on a monotonic clock, in microseconds since an arbitrary start.
/// Classes of the core library receive it as a parameter and read no clock.
using instant = std::chrono::microseconds;

/// Time since the Unix epoch, in milliseconds.
using wall_time = std::chrono::milliseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace jujubedrum
