#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Versioned list of live and leaving instances. To simulate stale reads, it
/// can be read with a fixed lag, or frozen at a version.
class instance_list
{
public:
    /// Merges fields into the entry of an instance. An instance that is new or
    /// "gone" gets a new entry with the state "live".
    /// \return the new version of the list.
    std::uint64_t put(const std::string& name, const nlohmann::json& fields,
                      instant now);
    /// Hides changes from readers until they are older than the lag.
    void set_lag(microseconds lag) { this->lag = lag; }
    /// Freezes the list at the version that is visible now, or unfreezes it.
    void set_frozen(bool frozen, instant now);
    /// Returns the reply to a read of the changes after a version: a delta, or
    /// the full list if the version is 0, unknown or older than the retained
    /// history.
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
    /// Entries as of `base_version`, the newest one dropped from `history`.
    std::map<std::string, nlohmann::json> base;
    std::deque<change> history;
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    microseconds lag{0};
    bool frozen = false;
    std::uint64_t frozen_version = 0;
};

} // namespace jujubedrum
