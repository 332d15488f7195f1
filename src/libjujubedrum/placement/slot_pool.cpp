#include "placement/slot_pool.hpp"

#include <algorithm>
#include <set>

namespace jujubedrum
{

namespace
{

unsigned sum(const std::map<std::string, pooled_server, std::less<>>& entries,
             unsigned pooled_server::*field)
{
    unsigned total = 0;
    for (const auto& [name, entry] : entries)
    {
        total += entry.*field;
    }
    return total;
}

bool is_unused(const pooled_server& entry)
{
    return entry.busy == 0 && entry.lent == 0 && entry.borrowed == 0;
}

} // namespace

void slot_pool::set_servers(const std::vector<backend_server>& servers,
                            const slot_map& owned)
{
    std::set<std::string_view> listed;
    for (const backend_server& server : servers)
    {
        listed.insert(server.name());
        auto [at, added] =
            this->entries.try_emplace(server.name(), pooled_server{server});
        pooled_server& entry = at->second;
        const bool live = server.state() == server_state::live;
        entry.server = server;
        entry.owned = owned.owned(server.name());
        entry.reported_leaving = entry.reported_leaving && live;
        entry.usable = live && !entry.reported_leaving;
    }
    for (auto at = this->entries.begin(); at != this->entries.end();)
    {
        pooled_server& entry = at->second;
        if (!listed.contains(at->first))
        {
            entry.owned = 0;
            entry.usable = false;
            entry.reported_leaving = false;
            if (is_unused(entry))
            {
                at = this->entries.erase(at);
                continue;
            }
        }
        ++at;
    }
    this->free_total = 0;
    for (auto& [name, entry] : this->entries)
    {
        this->free_total += entry.free();
        entry.min_free = std::min(entry.min_free, entry.free());
    }
}

template <typename Change>
bool slot_pool::change(std::string_view server, Change apply)
{
    const auto at = this->entries.find(server);
    if (at == this->entries.end())
    {
        return false;
    }
    pooled_server& entry = at->second;
    this->free_total -= entry.free();
    const bool applied = apply(entry);
    this->free_total += entry.free();
    entry.min_free = std::min(entry.min_free, entry.free());
    return applied;
}

void slot_pool::mark_leaving(std::string_view server)
{
    this->change(server,
                 [](pooled_server& entry)
                 {
                     entry.reported_leaving = true;
                     entry.usable = false;
                     return true;
                 });
}

bool slot_pool::started(std::string_view server)
{
    return this->change(server,
                        [](pooled_server& entry)
                        {
                            ++entry.busy;
                            return true;
                        });
}

bool slot_pool::finished(std::string_view server)
{
    return this->change(server,
                        [](pooled_server& entry)
                        {
                            const bool running = entry.busy > 0;
                            entry.busy -= running ? 1 : 0;
                            return running;
                        });
}

unsigned slot_pool::lend(std::string_view server, unsigned count)
{
    unsigned moved = 0;
    this->change(server,
                 [&](pooled_server& entry)
                 {
                     const unsigned own = entry.owned > entry.lent
                                              ? entry.owned - entry.lent
                                              : 0;
                     moved = std::min({count, entry.free(), own});
                     entry.lent += moved;
                     return true;
                 });
    return moved;
}

void slot_pool::reclaim(std::string_view server, unsigned count)
{
    this->change(server,
                 [&](pooled_server& entry)
                 {
                     entry.lent -= std::min(count, entry.lent);
                     return true;
                 });
}

bool slot_pool::borrow(std::string_view server, unsigned count)
{
    return this->change(server,
                        [&](pooled_server& entry)
                        {
                            entry.borrowed += count;
                            return true;
                        });
}

void slot_pool::drop_borrowed(std::string_view server, unsigned count)
{
    this->change(server,
                 [&](pooled_server& entry)
                 {
                     entry.borrowed -= std::min(count, entry.borrowed);
                     return true;
                 });
}

unsigned slot_pool::capacity() const
{
    unsigned total = 0;
    for (const auto& [name, entry] : this->entries)
    {
        total += entry.capacity();
    }
    return total;
}

unsigned slot_pool::owned() const
{
    return sum(this->entries, &pooled_server::owned);
}

unsigned slot_pool::lent() const
{
    return sum(this->entries, &pooled_server::lent);
}

unsigned slot_pool::borrowed() const
{
    return sum(this->entries, &pooled_server::borrowed);
}

unsigned slot_pool::busy() const
{
    return sum(this->entries, &pooled_server::busy);
}

const pooled_server* slot_pool::find(std::string_view server) const
{
    const auto at = this->entries.find(server);
    return at == this->entries.end() ? nullptr : &at->second;
}

void slot_pool::reset_min_free()
{
    for (auto& [name, entry] : this->entries)
    {
        entry.min_free = entry.free();
    }
}

} // namespace jujubedrum
