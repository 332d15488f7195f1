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

/// Longest duration that is read from a document, a request or a message (49
/// days). Messages between instances hold milliseconds in 32 bits, and sums of
/// a few such durations stay far below the limit of `instant`.
constexpr milliseconds max_duration{0xffffffffLL};

} // namespace jujubedrum
