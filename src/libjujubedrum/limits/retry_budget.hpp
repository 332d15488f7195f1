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
    /// Retries and hedges allowed for each recent first start.
    double fraction = 0.1;
    /// Retries per second allowed regardless of traffic, so that an instance
    /// with little work can still retry.
    double min_per_second = 1;
    microseconds min_delay = milliseconds(20);
    microseconds max_delay = milliseconds(500);
};

/// Limits retries and hedges to a fraction of the first starts of the last
/// 10 s. A fraction of traffic bounds the extra load when everything fails,
/// which a count per request does not.
class retry_budget
{
public:
    explicit retry_budget(retry_settings settings = {});

    /// Counts a first start of a task.
    void on_first_start(instant now);
    /// Spends the budget for one retry or hedge, or returns false.
    bool try_spend(instant now);
    /// Returns the delay before a retry, or nothing if the deadline would
    /// pass before it. Random within [20 ms, 40 ms] at first; both ends
    /// double with each attempt, up to [250 ms, 500 ms].
    /// \param attempt number of the retry, from 1.
    /// \param deadline empty: no deadline.
    [[nodiscard]] std::optional<microseconds>
    delay(std::uint32_t attempt, instant now, std::optional<instant> deadline,
          random_source& random) const;

    /// Returns the retries the budget allows now.
    [[nodiscard]] double available(instant now);

private:
    /// The window: 10 s in buckets of 100 ms.
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
