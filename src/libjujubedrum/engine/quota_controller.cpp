#include "engine/quota_controller.hpp"

#include <utility>

namespace jujubedrum
{

quota_controller::quota_controller(std::string name)
    : self(std::move(name))
    , listed{{this->self, 1}}
{
}

void quota_controller::set_document(const document& document, instant now)
{
    for (const std::string& name : document.team_names())
    {
        const team_settings* team = document.find_team(name);
        quota_limits limits;
        limits.tasks_per_second = team->tasks_per_second();
        limits.in_flight = team->tasks_in_flight();
        limits.max_tasks_per_job = team->max_tasks_per_job();
        const auto [at, added] = this->quotas.try_emplace(name, limits);
        if (added)
        {
            at->second.set_share(this->listed, this->self, now);
        }
        else
        {
            at->second.set_limits(limits, now);
        }
    }
    std::erase_if(this->quotas,
                  [&document](const auto& entry)
                  {
                      return document.find_team(entry.first) == nullptr &&
                             entry.second.in_flight() == 0;
                  });
}

void quota_controller::set_listed(std::vector<weighted_instance> instances,
                                  instant now)
{
    this->listed = std::move(instances);
    for (auto& [name, quota] : this->quotas)
    {
        quota.set_share(this->listed, this->self, now);
    }
}

team_quota* quota_controller::find(const std::string& team)
{
    const auto found = this->quotas.find(team);
    return found == this->quotas.end() ? nullptr : &found->second;
}

} // namespace jujubedrum
