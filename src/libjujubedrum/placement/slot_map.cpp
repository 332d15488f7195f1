#include "placement/slot_map.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <tuple>

namespace jujubedrum
{

namespace
{

/// Divides the slots of servers one after another. The fraction of a slot that
/// an instance lacks at one server is credited to it for the next, so totals
/// differ from the exact shares by at most one slot.
class slot_divider
{
public:
    explicit slot_divider(std::vector<const entry_instance*> sharing)
        : entries(std::move(sharing))
        , credits(this->entries.size(), 0.0)
    {
        for (const entry_instance* entry : this->entries)
        {
            this->total_weight += entry->weight;
        }
    }

    /// Returns the slots of each instance, in the order of the instances.
    std::vector<unsigned> divide(const backend_server& server)
    {
        std::vector<unsigned> shares(this->entries.size(), 0);
        unsigned left = server.slots();
        for (std::size_t i = 0; i < shares.size(); ++i)
        {
            const double share =
                server.slots() * this->entries[i]->weight / this->total_weight;
            // The tolerance keeps rounding errors from reducing a whole share.
            shares[i] = static_cast<unsigned>(std::floor(share + tolerance));
            this->credits[i] += share - shares[i];
            left -= std::min(left, shares[i]);
        }
        for (; left > 0; --left)
        {
            const std::size_t next =
                this->largest_credit(stable_hash(server.name()));
            ++shares[next];
            this->credits[next] -= 1.0;
        }
        return shares;
    }

private:
    static constexpr double tolerance = 1e-9;

    /// Returns the index of the instance with the largest credit. Among equal
    /// ones the first counts, in an order rotated by the hash of the server.
    [[nodiscard]] std::size_t largest_credit(std::uint64_t hash) const
    {
        const std::size_t size = this->credits.size();
        std::size_t best = hash % size;
        for (std::size_t step = 1; step < size; ++step)
        {
            const std::size_t at = (hash % size + step) % size;
            if (this->credits[at] > this->credits[best] + tolerance)
            {
                best = at;
            }
        }
        return best;
    }

    std::vector<const entry_instance*> entries;
    std::vector<double> credits;
    double total_weight = 0.0;
};

std::vector<const entry_instance*>
sharing_instances(const std::vector<entry_instance>& entries,
                  const backend_server& first, bool adopted)
{
    std::vector<const entry_instance*> sharing;
    for (const entry_instance& entry : entries)
    {
        const bool shares = adopted ? entry.region == first.region()
                                    : entry.domain == first.domain();
        if (shares && entry.weight > 0.0)
        {
            sharing.push_back(&entry);
        }
    }
    std::sort(sharing.begin(), sharing.end(),
              [](const auto* a, const auto* b) { return a->name < b->name; });
    return sharing;
}

} // namespace

slot_map slot_map::build(const std::vector<backend_server>& servers,
                         const std::vector<entry_instance>& entries,
                         std::string_view self,
                         const std::vector<std::string>& adopted)
{
    std::map<std::string, std::vector<const backend_server*>> domains;
    for (const backend_server& server : servers)
    {
        domains[server.domain()].push_back(&server);
    }
    slot_map map;
    for (auto& [domain, members] : domains)
    {
        // The order must depend neither on that of the list nor on the names
        // themselves, which often follow racks and hardware generations.
        std::sort(members.begin(), members.end(),
                  [](const auto* a, const auto* b)
                  {
                      return std::tuple(stable_hash(a->name()), a->name()) <
                             std::tuple(stable_hash(b->name()), b->name());
                  });
        const bool is_adopted =
            std::find(adopted.begin(), adopted.end(), domain) != adopted.end();
        const auto sharing =
            sharing_instances(entries, *members.front(), is_adopted);
        const auto own = std::find_if(sharing.begin(), sharing.end(),
                                      [&](const auto* entry)
                                      { return entry->name == self; });
        if (own == sharing.end())
        {
            continue;
        }
        const auto at = static_cast<std::size_t>(own - sharing.begin());
        slot_divider divider(sharing);
        for (const backend_server* server : members)
        {
            const unsigned share = divider.divide(*server)[at];
            if (share > 0)
            {
                map.counts[server->name()] = share;
            }
        }
    }
    return map;
}

unsigned slot_map::owned(std::string_view server) const
{
    const auto at = this->counts.find(server);
    return at == this->counts.end() ? 0 : at->second;
}

unsigned slot_map::total() const
{
    return std::accumulate(this->counts.begin(), this->counts.end(), 0U,
                           [](unsigned sum, const auto& entry)
                           { return sum + entry.second; });
}

} // namespace jujubedrum
