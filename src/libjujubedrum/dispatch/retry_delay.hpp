#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Returns when a refused caller should try again: once capacity is expected,
/// spread so that callers that were refused together do not return together,
/// and the more urgent ones earlier. Equal arguments give equal results.
/// \param lateness by how much the job would have missed its objective;
/// `unknown_wait` if no server is usable.
/// \param pressure recent demand as a multiple of the capacity.
[[nodiscard]] milliseconds retry_delay(milliseconds lateness, double pressure,
                                       std::uint32_t priority,
                                       const std::string& job);

} // namespace jujubedrum
