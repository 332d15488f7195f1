#pragma once

#include "base/time.hpp"
#include "metrics_registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Counts times in buckets of fixed limits, for the metrics.
class latency_histogram
{
public:
    /// Upper limits of the buckets in milliseconds; a last one has no limit.
    static constexpr std::array<std::int64_t, 12> upper_bounds{
        2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

    void add(milliseconds time);
    /// Writes counts of times up to each limit, as Prometheus expects.
    void write(metrics_registry& metrics, const std::string& name) const;
    /// Returns the number of times up to the limit at this position.
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t position) const;
    [[nodiscard]] std::uint64_t count() const { return this->total; }

private:
    std::array<std::uint64_t, upper_bounds.size()> buckets{};
    std::uint64_t total = 0;
    std::uint64_t sum_ms = 0;
};

} // namespace jujubedrum
