#pragma once

#include "base/time.hpp"
#include "config/document.hpp"
#include "limits/team_quota.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Holds this instance's share of every team's quota.
class quota_controller
{
public:
    explicit quota_controller(std::string self);

    /// Applies the quotas of the configuration in force.
    void set_document(const document& document, instant now);
    /// Divides every quota among the listed entry instances.
    void set_listed(std::vector<weighted_instance> listed, instant now);

    /// Returns the team's quota, or a null pointer for an unknown team.
    [[nodiscard]] team_quota* find(const std::string& team);
    /// Returns the quotas by team.
    [[nodiscard]] const std::map<std::string, team_quota>& teams() const
    {
        return this->quotas;
    }

private:
    std::string self;
    std::vector<weighted_instance> listed;
    std::map<std::string, team_quota> quotas;
};

} // namespace jujubedrum
