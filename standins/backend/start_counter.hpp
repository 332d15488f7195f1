#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Counts the starts of each task id. Beyond a maximum number of ids, the
/// oldest are evicted; the totals include them.
class start_counter
{
public:
    explicit start_counter(std::size_t max_tasks)
        : max_tasks(max_tasks)
    {
    }

    /// Counts one start of the task.
    void count(const std::string& task);
    [[nodiscard]] std::uint64_t total() const { return this->starts; }
    /// Returns the number of starts of task ids that were started before.
    [[nodiscard]] std::uint64_t repeated() const { return this->repeats; }
    /// Returns an object that maps task ids to their counts, for one job or,
    /// if the job is empty, for all.
    [[nodiscard]] nlohmann::json tasks(const std::string& job) const;

private:
    const std::size_t max_tasks;
    std::unordered_map<std::string, std::uint64_t> counts;
    std::deque<std::string> eviction_order;
    std::uint64_t starts = 0;
    std::uint64_t repeats = 0;
};

} // namespace jujubedrum
