#pragma once

#include "node/event_loop.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Returns a free port of a local address that was not returned before: the
/// system may offer one again before it is bound.
std::uint16_t free_port(event_loop& loop, const std::string& address);

} // namespace jujubedrum
