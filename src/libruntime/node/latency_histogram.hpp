#pragma once

#include "base/time.hpp"
#include "metrics_registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Histogram of durations with fixed buckets, for the metrics.
class latency_histogram
{
public:
    /// Inclusive upper bounds of the buckets in milliseconds. Longer times are
    /// counted only in the unbounded last bucket.
    static constexpr std::array<std::int64_t, 12> upper_bounds{
        2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

    void add(milliseconds time);
    /// Writes cumulative buckets, sum and count in the form of a Prometheus
    /// histogram.
    void write(metrics_registry& metrics, const std::string& name) const;
    /// Returns the number of times up to the bound at this position.
    [[nodiscard]] std::uint64_t cumulative_count(std::size_t position) const;
    [[nodiscard]] std::uint64_t count() const { return this->total; }

private:
    std::array<std::uint64_t, upper_bounds.size()> buckets{};
    std::uint64_t total = 0;
    std::uint64_t sum_ms = 0;
};

} // namespace jujubedrum
