#pragma once

#include "base/time.hpp"
#include "jobs/hash_set.hpp"
#include "jobs/outcome.hpp"
#include "jobs/submission.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jujubedrum
{

/// Bounds of a job table.
class job_table_limits
{
public:
    /// Maximum number of running jobs.
    std::size_t max_running = 20'000;
    /// Maximum memory in bytes for running jobs, stored outcomes and
    /// tombstones together.
    std::size_t max_bytes = 64UL * 1024 * 1024;
    /// Time for which an id is kept after its job finished. Must be at least
    /// the lifetime of issued ids, otherwise an id could start twice.
    microseconds answer_lifetime = seconds(600);
};

/// Result of `job_table::open`.
enum class open_verdict
{
    opened,            ///< new id: the caller of `open` must run the job
    duplicate_running, ///< the same job is running; wait for its outcome
    finished,          ///< the job finished; its outcome may be evicted
    conflict,          ///< the id was submitted with another body (409)
    full,              ///< a bound of the table is reached: not run, retry
};

/// Entry of the job table for one id.
class job_record
{
public:
    /// Returns whether the job is still running.
    [[nodiscard]] bool running() const { return this->result == nullptr; }

    /// Team that submitted the job; empty once the answer was evicted.
    std::string team;
    /// Digest of the submission; empty once the answer was evicted.
    std::string digest;
    /// Outcome of the job; null while it is running.
    std::shared_ptr<const outcome> result;
};

/// Running jobs and the outcomes of finished jobs, bounded in number and in
/// bytes. An evicted outcome leaves a tombstone until its lifetime is over, so
/// that an id that ran is not opened again.
class job_table
{
public:
    explicit job_table(job_table_limits limits);

    /// Returns the entry of the id, or nothing if the id is unknown. For a
    /// tombstone, the outcome is `failed` with `answer_expired`.
    [[nodiscard]] std::optional<job_record> find(std::string_view id) const;
    /// Adds a running job under the id of the submission, unless the id is
    /// already in the table.
    open_verdict open(const submission& job, instant now);
    /// Stores the outcome of a running job. Returns false if no job with the
    /// id is running, as a job finishes only once, or if the outcome is
    /// `in_progress`.
    bool finish(std::string_view id, outcome result, instant now);
    /// Removes ids whose lifetime is over.
    void expire(instant now);

    /// Returns the number of running jobs.
    [[nodiscard]] std::size_t running() const { return this->running_count; }
    /// Returns the number of stored outcomes.
    [[nodiscard]] std::size_t stored() const { return this->finished.size(); }
    /// Returns the number of tombstones.
    [[nodiscard]] std::size_t tombstones() const;
    /// Returns the estimated memory use in bytes, which `max_bytes` bounds.
    [[nodiscard]] std::size_t bytes() const { return this->byte_count; }

private:
    struct entry
    {
        job_record record;
        std::size_t bytes = 0;
        instant finished_at{};
    };
    struct id_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view id) const
        {
            return std::hash<std::string_view>()(id);
        }
    };
    /// Tombstones of jobs that finished in the same period.
    struct generation
    {
        instant oldest{};
        instant newest{};
        hash_set ids;
    };

    [[nodiscard]] bool is_tombstone(std::string_view id) const;
    void add_tombstone(std::string_view id, instant finished_at);
    void evict_oldest();
    /// Evicts outcomes until `bytes` more fit; returns whether they fit.
    bool evict_to_fit(std::size_t bytes);

    job_table_limits limits;
    std::unordered_map<std::string, entry, id_hash, std::equal_to<>> jobs;
    /// Ids of finished jobs, the oldest first.
    std::deque<std::string> finished;
    std::deque<generation> generations;
    std::size_t running_count = 0;
    std::size_t byte_count = 0;
    /// Outcome returned for tombstones.
    std::shared_ptr<const outcome> evicted_outcome;
};

} // namespace jujubedrum
