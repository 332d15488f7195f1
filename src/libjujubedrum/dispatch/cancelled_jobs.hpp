#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujubedrum
{

/// Remembers the jobs whose cancel was acknowledged, so that no later
/// submission runs them: by an accepting instance that missed the cancel, or by
/// the caller's own next attempt. Handles 1,000 cancels a second.
class cancelled_jobs
{
public:
    /// A job can reappear within the time limit of the attempt that missed the
    /// cancel (20 s), the caller's delay and the limit of its next attempt
    /// (1.3 s and 20 s), and a suspension of 4 s in between.
    static constexpr seconds retention_time{60};
    /// 60 s of cancels of a twentieth of 18,000 jobs a second, in about 10 MB.
    /// The oldest are dropped first.
    static constexpr std::size_t max_jobs = 65536;

    /// \param own acknowledged by this instance, which informs others.
    void add(const std::string& job, bool own, instant now);
    [[nodiscard]] bool contains(const std::string& job, instant now) const;
    /// Returns the jobs whose cancel this instance acknowledged.
    [[nodiscard]] std::vector<std::string> own_jobs(instant now) const;
    [[nodiscard]] std::size_t size() const { return this->jobs.size(); }

private:
    struct cancelled_job
    {
        instant until{0};
        bool own = false;
    };
    struct added_job
    {
        std::string id;
        instant until{0};
    };

    void remove_expired(instant now);

    std::unordered_map<std::string, cancelled_job> jobs;
    std::deque<added_job> order; ///< oldest first
};

} // namespace jujubedrum
