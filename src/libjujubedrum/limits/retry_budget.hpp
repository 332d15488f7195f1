#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace jujubedrum
{

/// Settings of a retry budget.
class retry_settings
{
public:
    /// Retries and hedges allowed per first start within the window.
    double fraction = 0.1;
    /// Retries and hedges per second allowed regardless of traffic, so that an
    /// instance with few tasks can still retry.
    double min_per_second = 1;
    microseconds min_delay = milliseconds(20);
    microseconds max_delay = milliseconds(500);
};

/// Limits retries and hedges to a fraction of the first starts of the last
/// 10 s. This bounds the extra load when everything fails; a number of retries
/// per request would not.
class retry_budget
{
public:
    explicit retry_budget(retry_settings settings = {});

    /// Counts the first start of a task.
    void on_first_start(instant now);
    /// Spends the budget of one retry or hedge; returns false and spends
    /// nothing if less is available.
    bool try_spend(instant now);
    /// Returns the delay before a retry, or nothing if the deadline would pass
    /// before its end. Random within [20 ms, 40 ms] for the first retry; both
    /// bounds double with each attempt, up to [250 ms, 500 ms].
    /// \param attempt number of the retry, from 1.
    /// \param deadline empty: no deadline.
    [[nodiscard]] std::optional<microseconds>
    delay(std::uint32_t attempt, instant now, std::optional<instant> deadline,
          random_source& random) const;

    /// Returns the number of retries and hedges that the budget allows now.
    [[nodiscard]] double available(instant now);

private:
    /// The window of 10 s consists of buckets of 100 ms.
    static constexpr std::size_t bucket_count = 100;
    static constexpr microseconds bucket_width = milliseconds(100);

    struct bucket
    {
        std::uint64_t starts = 0;
        std::uint64_t spent = 0;
    };

    void advance(instant now);

    retry_settings settings;
    std::array<bucket, bucket_count> window{};
    std::int64_t current = 0;
    std::uint64_t starts = 0;
    std::uint64_t spent = 0;
};

} // namespace jujubedrum
