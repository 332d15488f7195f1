#pragma once

#include <chrono>
#include <cstdint>

namespace jujubedrum
{

/// Declared properties of a task kind: the defaults for a task that does not
/// state its own.
class kind_settings
{
public:
    kind_settings() = default;
    kind_settings(bool repeatable, std::chrono::milliseconds run_time,
                  std::uint32_t memory_mb)
        : repeatable_value(repeatable)
        , run_time_value(run_time)
        , memory_mb_value(memory_mb)
    {
    }

    /// Returns whether a task of this kind may run more than once.
    [[nodiscard]] bool repeatable() const { return this->repeatable_value; }
    /// Returns the expected run time.
    [[nodiscard]] std::chrono::milliseconds run_time() const
    {
        return this->run_time_value;
    }
    /// Returns the memory a task needs, in MB.
    [[nodiscard]] std::uint32_t memory_mb() const
    {
        return this->memory_mb_value;
    }

    bool operator==(const kind_settings&) const = default;

private:
    bool repeatable_value = false;
    std::chrono::milliseconds run_time_value{200};
    std::uint32_t memory_mb_value = 64;
};

} // namespace jujubedrum
