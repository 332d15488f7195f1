#include "engine/running_job.hpp"

namespace jujubedrum
{

std::vector<std::uint32_t> running_job::may_have_run() const
{
    std::vector<std::uint32_t> indexes;
    for (std::size_t i = 0; i < this->tasks.size(); ++i)
    {
        const task_progress& task = this->tasks[i];
        if (task.may_have_run || task.in_flight > 0)
        {
            indexes.push_back(static_cast<std::uint32_t>(i));
        }
    }
    return indexes;
}

} // namespace jujubedrum
