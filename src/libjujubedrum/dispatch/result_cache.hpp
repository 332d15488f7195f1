#pragma once

#include "base/time.hpp"
#include "dispatch/job_request.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Identifies a submission of a job by an accepting instance.
struct submission_key
{
    std::string instance;
    std::uint64_t boot = 0; ///< of the instance
    std::uint64_t ticket = 0;

    auto operator<=>(const submission_key&) const = default;
};

/// Keeps the results of jobs that ended at a holder. An accepting instance
/// whose link to the holder broke does not know them and submits its jobs
/// again; those that have run get their result instead of a second run.
class result_cache
{
public:
    /// Longer than callers wait for tasks of seconds; bounds the memory.
    static constexpr seconds retention_time{10};
    static constexpr std::size_t max_results = 4096;

    /// Keeps a result, unless the job may be run again after it.
    void add(const submission_key& key, const job_result& result, instant now);
    /// Returns the result of the submission; empty if none is kept.
    [[nodiscard]] std::optional<job_result> find(const submission_key& key,
                                                 instant now) const;

private:
    struct kept_result
    {
        job_result result;
        instant added{0};
    };

    void remove_expired(instant now);

    std::map<submission_key, kept_result> results;
    std::deque<submission_key> order; ///< oldest first
};

} // namespace jujubedrum
