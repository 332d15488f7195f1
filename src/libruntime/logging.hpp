#pragma once

#include <cstdint>
#include <string>

#include <easylogging++.h>

namespace jujubedrum
{

/// Sets up the log of a process: one line an event on standard output.
/// \param level one of "debug", "info", "warning", "error".
void configure_logging(const std::string& level);

/// Writes log lines without ever blocking the process: a line that standard
/// output cannot take at once is dropped, and so are lines beyond a rate. The
/// next line that is written tells how many were dropped.
void use_nonblocking_log();

/// Returns how many log lines were dropped.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Decides how many log lines are written. Pure, for tests.
class log_budget
{
public:
    /// \param per_second lines written in one second at most.
    explicit log_budget(std::uint32_t per_second)
        : max_per_second(per_second)
    {
    }

    /// Returns whether a line may be written at the time, in seconds.
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
