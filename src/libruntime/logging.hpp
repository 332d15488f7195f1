#pragma once

#include <cstdint>
#include <string>

#include <easylogging++.h>

namespace jujubedrum
{

/// Configures the log of the process: one line per event on standard output.
/// \param level one of "debug", "info", "warning", "error".
void configure_logging(const std::string& level);

/// Makes standard output non-blocking and installs a sink that drops lines
/// instead of blocking: those that standard output does not accept at once, and
/// those beyond a rate. The next line written reports the number of dropped
/// lines since the start.
void use_nonblocking_log();

/// Returns the number of log lines dropped since the start.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Limits the log lines written in each second. The caller passes the time, so
/// that tests need no clock.
class log_budget
{
public:
    /// \param per_second maximum number of lines in one second.
    explicit log_budget(std::uint32_t per_second)
        : max_per_second(per_second)
    {
    }

    /// Counts a line and returns whether it may be written.
    /// \param second current time in seconds.
    bool admit(std::int64_t second)
    {
        if (second != this->current)
        {
            this->current = second;
            this->used = 0;
        }
        return ++this->used <= this->max_per_second;
    }

private:
    std::uint32_t max_per_second;
    std::int64_t current = 0;
    std::uint32_t used = 0;
};

} // namespace jujubedrum
