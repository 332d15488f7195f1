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
    std::size_t max_running = 20'000;
    /// Bytes for running entries, stored outcomes and tombstones together.
    std::size_t max_bytes = 64UL * 1024 * 1024;
    /// How long an id stays known after its job finished. At least the
    /// lifetime of issued ids, else an id could start twice.
    microseconds answer_lifetime = seconds(600);
};

/// What `job_table::open` found.
enum class open_verdict
{
    opened,            ///< new: the caller of `open` now runs the job
    duplicate_running, ///< the same job is running; wait for its outcome
    finished,          ///< the outcome is stored, or was and is lost
    conflict,          ///< the id belongs to another body (409)
    full,              ///< no room for another job: not run, retry
};

/// What the table knows about an id.
class job_record
{
public:
    /// Returns whether the job is still running.
    [[nodiscard]] bool running() const { return this->result == nullptr; }

    /// Team that submitted the job; empty once the answer was evicted.
    std::string team;
    /// Digest of the submission; empty once the answer was evicted.
    std::string digest;
    /// The outcome, null while the job is running.
    std::shared_ptr<const outcome> result;
};

/// Running jobs and the outcomes of finished ones, bounded in number and
/// bytes. Evicted answers leave a tombstone until the lifetime is over, so
/// that an id that ran is never opened again.
class job_table
{
public:
    explicit job_table(job_table_limits limits);

    /// Returns what is known about the id, or nothing.
    [[nodiscard]] std::optional<job_record> find(std::string_view id) const;
    /// Opens the job of the submission's id unless the id is known.
    open_verdict open(const submission& job, instant now);
    /// Stores the outcome of a running job. Returns false if the id is not
    /// running or the outcome is `in_progress`: a job ends only once.
    bool finish(std::string_view id, outcome result, instant now);
    /// Forgets ids whose lifetime is over.
    void expire(instant now);

    /// Returns the number of running jobs.
    [[nodiscard]] std::size_t running() const { return this->running_count; }
    /// Returns the number of stored outcomes.
    [[nodiscard]] std::size_t stored() const { return this->finished.size(); }
    /// Returns the number of tombstones.
    [[nodiscard]] std::size_t tombstones() const;
    /// Returns the accounted bytes.
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
    struct generation
    {
        instant oldest{};
        instant newest{};
        hash_set ids;
    };

    [[nodiscard]] bool is_tombstone(std::string_view id) const;
    void add_tombstone(std::string_view id, instant finished_at);
    void evict_oldest();
    bool evict_to_fit(std::size_t bytes);

    job_table_limits limits;
    std::unordered_map<std::string, entry, id_hash, std::equal_to<>> jobs;
    /// Ids of finished jobs, the oldest first.
    std::deque<std::string> finished;
    std::deque<generation> generations;
    std::size_t running_count = 0;
    std::size_t byte_count = 0;
    std::shared_ptr<const outcome> evicted_outcome;
};

} // namespace jujubedrum
