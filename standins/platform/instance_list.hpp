#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// List of live and leaving instances by version. Readers see it as of some
/// time ago, or as of the moment it was frozen.
class instance_list
{
public:
    /// Merges fields into the entry of an instance; a new one starts live.
    /// \return the new version.
    std::uint64_t put(const std::string& name, const nlohmann::json& fields,
                      instant now);
    /// Sets how far readers lag behind.
    void set_lag(microseconds lag) { this->lag = lag; }
    /// Stops or resumes the progress of what readers see.
    void set_frozen(bool frozen, instant now);
    /// Returns the reply to a read of the changes after a version: a delta,
    /// or the full list where the version is 0, unknown or too old.
    nlohmann::json read(std::uint64_t since, instant now);

private:
    struct change
    {
        std::uint64_t version;
        instant at;
        nlohmann::json entry;
    };

    [[nodiscard]] std::uint64_t visible_version(instant now) const;

    std::map<std::string, nlohmann::json> latest;
    std::map<std::string, nlohmann::json> base;
    std::deque<change> history;
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    microseconds lag{0};
    bool frozen = false;
    std::uint64_t frozen_version = 0;
};

} // namespace jujubedrum
