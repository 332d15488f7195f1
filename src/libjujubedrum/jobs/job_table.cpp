#include "jobs/job_table.hpp"

#include "base/hash.hpp"

#include <utility>

namespace jujubedrum
{

namespace
{

/// Memory of an entry in bytes without its texts: map node, list node, control
/// block.
constexpr std::size_t entry_overhead_bytes = 320;
/// Memory of a tombstone in bytes just after its set has grown: 8 bytes per
/// slot with three eighths of the slots in use, rounded up. Each tombstone is
/// charged this much from the start, so that the estimate does not exceed the
/// bound when a set grows.
constexpr std::size_t tombstone_bytes = 24;
/// Number of generations of tombstones per answer lifetime. A generation is
/// removed as a whole, so a tombstone is kept at most one generation longer
/// than needed.
constexpr int generations_per_lifetime = 16;

} // namespace

job_table::job_table(job_table_limits limits)
    : limits(limits)
    , evicted_outcome(std::make_shared<const outcome>(outcome::failed(
          outcome_reason::answer_expired,
          "the job has ended and its answer is no longer held")))
{
}

std::optional<job_record> job_table::find(std::string_view id) const
{
    const auto found = this->jobs.find(id);
    if (found != this->jobs.end())
    {
        return found->second.record;
    }
    if (this->is_tombstone(id))
    {
        return job_record{"", "", this->evicted_outcome};
    }
    return std::nullopt;
}

open_verdict job_table::open(const submission& job, instant now)
{
    this->expire(now);
    const auto found = this->jobs.find(job.id());
    if (found != this->jobs.end())
    {
        const job_record& known = found->second.record;
        if (known.digest != job.digest())
        {
            return open_verdict::conflict;
        }
        return known.running() ? open_verdict::duplicate_running
                               : open_verdict::finished;
    }
    if (this->is_tombstone(job.id()))
    {
        return open_verdict::finished;
    }
    const std::size_t bytes = entry_overhead_bytes + 2 * job.id().size() +
                              job.team().size() + job.digest().size();
    if (this->running_count >= this->limits.max_running ||
        !this->evict_to_fit(bytes))
    {
        return open_verdict::full;
    }
    entry added;
    added.record = {job.team(), job.digest(), nullptr};
    added.bytes = bytes;
    this->jobs.emplace(job.id(), std::move(added));
    this->byte_count += bytes;
    ++this->running_count;
    return open_verdict::opened;
}

bool job_table::finish(std::string_view id, outcome result, instant now)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || !found->second.record.running() ||
        result.kind() == outcome_kind::in_progress)
    {
        return false;
    }
    entry& job = found->second;
    const std::size_t added = result.bytes();
    job.record.result = std::make_shared<const outcome>(std::move(result));
    job.bytes += added;
    job.finished_at = now;
    this->finished.emplace_back(id);
    this->byte_count += added;
    --this->running_count;
    this->evict_to_fit(0);
    return true;
}

void job_table::expire(instant now)
{
    while (!this->finished.empty())
    {
        const auto oldest = this->jobs.find(this->finished.front());
        if (now - oldest->second.finished_at < this->limits.answer_lifetime)
        {
            break;
        }
        this->byte_count -= oldest->second.bytes;
        this->jobs.erase(oldest);
        this->finished.pop_front();
    }
    while (!this->generations.empty() &&
           now - this->generations.front().newest >=
               this->limits.answer_lifetime)
    {
        this->byte_count -=
            this->generations.front().ids.size() * tombstone_bytes;
        this->generations.pop_front();
    }
}

std::size_t job_table::tombstones() const
{
    std::size_t total = 0;
    for (const generation& group : this->generations)
    {
        total += group.ids.size();
    }
    return total;
}

bool job_table::is_tombstone(std::string_view id) const
{
    // Tombstones hold only hashes. On a collision, a new id is treated as
    // finished and its job is not started.
    const std::uint64_t hash = stable_hash(id);
    for (const generation& group : this->generations)
    {
        if (group.ids.contains(hash))
        {
            return true;
        }
    }
    return false;
}

void job_table::add_tombstone(std::string_view id, instant finished_at)
{
    const microseconds generation_width =
        this->limits.answer_lifetime / generations_per_lifetime;
    if (this->generations.empty() ||
        finished_at - this->generations.back().oldest >= generation_width)
    {
        this->generations.push_back({finished_at, finished_at, {}});
    }
    generation& group = this->generations.back();
    group.newest = finished_at;
    if (group.ids.insert(stable_hash(id)))
    {
        this->byte_count += tombstone_bytes;
    }
}

void job_table::evict_oldest()
{
    const auto oldest = this->jobs.find(this->finished.front());
    this->byte_count -= oldest->second.bytes;
    this->add_tombstone(oldest->first, oldest->second.finished_at);
    this->jobs.erase(oldest);
    this->finished.pop_front();
}

bool job_table::evict_to_fit(std::size_t bytes)
{
    while (this->byte_count + bytes > this->limits.max_bytes &&
           !this->finished.empty())
    {
        this->evict_oldest();
    }
    return this->byte_count + bytes <= this->limits.max_bytes;
}

} // namespace jujubedrum
