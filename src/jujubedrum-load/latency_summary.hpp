#pragma once

#include <cstddef>
#include <vector>

namespace jujubedrum
{

/// Mean and percentiles of the ratio of response time to ideal response time
/// over a set of jobs.
class latency_summary
{
public:
    latency_summary() = default;
    /// Summarises one ratio for each job; all figures are 0 if there are none.
    explicit latency_summary(std::vector<double> ratios);

    /// Returns the number of jobs.
    [[nodiscard]] std::size_t count() const { return this->jobs; }
    [[nodiscard]] double mean() const { return this->average; }
    [[nodiscard]] double p50() const { return this->median; }
    [[nodiscard]] double p99() const { return this->percentile99; }
    [[nodiscard]] double p999() const { return this->percentile999; }

    bool operator==(const latency_summary&) const = default;

private:
    std::size_t jobs = 0;
    double average = 0.0;
    double median = 0.0;
    double percentile99 = 0.0;
    double percentile999 = 0.0;
};

} // namespace jujubedrum
