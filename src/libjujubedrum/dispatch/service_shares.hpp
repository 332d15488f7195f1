#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace jujubedrum
{

/// Measures which share of the recent jobs was served in time, by priority and
/// by size within a priority, so that under overload no class of jobs is served
/// less than half as often as all, and no size less than half as often as its
/// class. Made for jobs of several priorities and sizes at more than the
/// capacity of the servers.
class service_shares
{
public:
    /// Sizes of the jobs of a priority: up to the 70th percentile of their
    /// work, up to the 90th, and above.
    static constexpr std::uint32_t sizes = 3;

    /// Counts an arriving job and returns its size.
    /// \param work any measure that is comparable within the priority.
    std::uint32_t add_job(std::uint32_t priority, double work, instant now);
    /// Records how a job ended.
    void add_end(std::uint32_t priority, std::uint32_t size, bool in_time,
                 instant now);
    /// Returns whether the class is served so rarely that its jobs have to go
    /// ahead of those of other classes.
    [[nodiscard]] bool is_starved(std::uint32_t priority, instant now) const;
    /// Returns whether jobs of this size are served so rarely that they have to
    /// go ahead of others of their class.
    [[nodiscard]] bool is_starved(std::uint32_t priority, std::uint32_t size,
                                  instant now) const;
    /// Returns the priorities of the jobs of the last seconds.
    [[nodiscard]] std::set<std::uint32_t> recent_priorities(instant now) const;

private:
    /// Sums that halve in a fixed time.
    struct recent_counts
    {
        double jobs = 0;
        double in_time = 0;
        instant at{0};

        void add(bool served, instant now);
        [[nodiscard]] double share(double prior, instant now) const;
    };
    struct job_class
    {
        recent_counts all;
        std::array<recent_counts, sizes> by_size;
        std::array<double, sizes - 1> percentiles{};
        instant last_job{0};
    };

    recent_counts all;
    std::map<std::uint32_t, job_class> classes; ///< by priority
};

} // namespace jujubedrum
