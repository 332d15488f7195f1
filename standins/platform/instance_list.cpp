#include "platform/instance_list.hpp"

#include <algorithm>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_history_changes = 10000;

} // namespace

std::uint64_t instance_list::put(const std::string& name,
                                 const nlohmann::json& fields, instant now)
{
    nlohmann::json& entry = this->latest[name];
    if (entry.is_null() || entry["state"] == "gone")
    {
        entry = {{"state", "live"}};
    }
    entry.update(fields);
    entry["name"] = name;
    this->history.push_back({++this->version, now, entry});
    if (this->history.size() > max_history_changes)
    {
        const change& oldest = this->history.front();
        this->base[oldest.entry["name"]] = oldest.entry;
        this->base_version = oldest.version;
        this->history.pop_front();
    }
    return this->version;
}

void instance_list::set_frozen(bool frozen, instant now)
{
    if (frozen && !this->frozen)
    {
        this->frozen_version = this->visible_version(now);
    }
    this->frozen = frozen;
}

std::uint64_t instance_list::visible_version(instant now) const
{
    if (this->frozen)
    {
        return this->frozen_version;
    }
    std::uint64_t visible = this->base_version;
    for (const change& change : this->history)
    {
        if (change.at > now - this->lag)
        {
            break;
        }
        visible = change.version;
    }
    return visible;
}

nlohmann::json instance_list::read(std::uint64_t since, instant now)
{
    const std::uint64_t visible =
        std::max(this->visible_version(now), this->base_version);
    const bool full =
        since == 0 || since > this->version || since < this->base_version;
    std::map<std::string, nlohmann::json> entries;
    if (full)
    {
        entries = this->base;
    }
    for (const change& change : this->history)
    {
        if (change.version <= visible && (full || change.version > since))
        {
            entries[change.entry["name"]] = change.entry;
        }
    }
    nlohmann::json changes = nlohmann::json::array();
    for (const auto& [name, entry] : entries)
    {
        if (!full || entry["state"] != "gone")
        {
            changes.push_back(entry);
        }
    }
    return {{"version", full ? visible : std::max(since, visible)},
            {"full", full},
            {"changes", std::move(changes)}};
}

} // namespace jujubedrum
