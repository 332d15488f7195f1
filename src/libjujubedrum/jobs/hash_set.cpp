#include "jobs/hash_set.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::size_t min_slot_count = 16;

} // namespace

bool hash_set::insert(std::uint64_t hash)
{
    hash = std::max<std::uint64_t>(hash, 1);
    if (this->contains(hash))
    {
        return false;
    }
    if ((this->count + 1) * 4 > this->slots.size() * 3)
    {
        this->grow();
    }
    this->slots[this->find_slot(hash)] = hash;
    ++this->count;
    return true;
}

bool hash_set::contains(std::uint64_t hash) const
{
    hash = std::max<std::uint64_t>(hash, 1);
    return !this->slots.empty() && this->slots[this->find_slot(hash)] == hash;
}

std::size_t hash_set::find_slot(std::uint64_t hash) const
{
    // The number of slots is a power of two, and at least one is empty.
    const std::size_t mask = this->slots.size() - 1;
    std::size_t slot = hash & mask;
    while (this->slots[slot] != 0 && this->slots[slot] != hash)
    {
        slot = (slot + 1) & mask;
    }
    return slot;
}

void hash_set::grow()
{
    std::vector<std::uint64_t> old = std::exchange(
        this->slots, std::vector<std::uint64_t>(
                         std::max(min_slot_count, this->slots.size() * 2), 0));
    for (const std::uint64_t hash : old)
    {
        if (hash != 0)
        {
            this->slots[this->find_slot(hash)] = hash;
        }
    }
}

} // namespace jujubedrum
