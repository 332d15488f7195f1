#include "dispatch/evacuation_table.hpp"

#include <algorithm>

namespace jujubedrum
{

void evacuation_table::add(const evacuation& record)
{
    const auto [at, added] = this->newest.emplace(record.domain, record);
    evacuation& current = at->second;
    if (!added)
    {
        // Of contradicting records at the same offset, the active one is kept:
        // all instances have to arrive at the same state, and this is safe.
        const bool newer = record.offset > current.offset ||
                           (record.offset == current.offset && record.active);
        current = newer ? record : current;
        return;
    }
    if (record.offset < this->list_end)
    {
        // A removal that was dropped from the log is unknown to this peer. It
        // is kept to be told to the peer.
        current = {record.domain, this->list_end - 1, false};
    }
}

void evacuation_table::add_list(const std::set<std::string>& domains,
                                std::uint64_t end)
{
    this->informed = true;
    if (end == 0)
    {
        return;
    }
    // The offsets of the single records are not needed: each record from `end`
    // on is read afterwards and has a higher offset than the list.
    for (const std::string& domain : domains)
    {
        this->add({domain, end - 1, true});
    }
    for (auto& [domain, record] : this->newest)
    {
        if (domains.count(domain) == 0 && record.offset < end)
        {
            record = {domain, end - 1, false};
        }
    }
    this->list_end = std::max(this->list_end, end);
}

void evacuation_table::add_peer(const std::vector<evacuation>& records,
                                bool known)
{
    this->informed = this->informed || known;
    for (const evacuation& record : records)
    {
        this->add(record);
    }
}

std::optional<std::set<std::string>> evacuation_table::evacuated() const
{
    if (!this->informed)
    {
        return std::nullopt;
    }
    std::set<std::string> result;
    for (const auto& [domain, record] : this->newest)
    {
        if (record.active)
        {
            result.insert(domain);
        }
    }
    return result;
}

std::vector<evacuation> evacuation_table::records() const
{
    std::vector<evacuation> result;
    for (const auto& [domain, record] : this->newest)
    {
        result.push_back(record);
    }
    return result;
}

std::uint64_t evacuation_table::offset_of(const std::string& domain) const
{
    const auto at = this->newest.find(domain);
    return at == this->newest.end() ? 0 : at->second.offset;
}

} // namespace jujubedrum
