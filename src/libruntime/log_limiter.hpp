#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Limits log lines about repeated errors: the first occurrence of a kind is
/// logged, then at most one line in an interval. Thread-safe.
class log_limiter
{
public:
    /// \param min_interval minimum time between two lines about one kind.
    explicit log_limiter(microseconds min_interval = seconds(10))
        : interval(min_interval)
    {
    }

    /// Counts an occurrence. If a line is due, returns the number of
    /// occurrences since the last line, including this one; else returns
    /// nothing. Kinds beyond the first `max_kinds` are never logged.
    std::optional<std::uint64_t> count(const std::string& kind, instant now);

private:
    /// Maximum number of kinds; bounds the memory if kinds come from outside.
    static constexpr std::size_t max_kinds = 256;

    struct state
    {
        instant last_line{0};
        std::uint64_t unlogged = 0;
    };

    const microseconds interval;
    std::mutex mutex;
    std::map<std::string, state> kinds;
};

} // namespace jujubedrum
