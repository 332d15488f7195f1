#pragma once

#include "node/event_loop.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Returns a free port of a local address, a different one on each call: the
/// system may offer a port again before the caller has bound it.
std::uint16_t free_port(event_loop& loop, const std::string& address);

/// Returns a loopback address derived from the process id, which no other test
/// process on this machine uses at the same time.
std::string unique_loopback_address();

} // namespace jujubedrum
