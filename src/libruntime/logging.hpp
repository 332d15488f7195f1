#pragma once

#include <string>

#include <easylogging++.h>

namespace jujubedrum
{

/// Sets up the log of a process: one line an event on standard error.
/// \param level one of "debug", "info", "warning", "error".
void configure_logging(const std::string& level);

} // namespace jujubedrum
