#include "jobs/hash_set.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

constexpr std::size_t smallest = 16;

} // namespace

bool hash_set::insert(std::uint64_t hash)
{
    hash = std::max<std::uint64_t>(hash, 1);
    if (this->contains(hash))
    {
        return false;
    }
    if ((this->count + 1) * 4 > this->places.size() * 3)
    {
        this->grow();
    }
    this->places[this->place_of(hash)] = hash;
    ++this->count;
    return true;
}

bool hash_set::contains(std::uint64_t hash) const
{
    hash = std::max<std::uint64_t>(hash, 1);
    return !this->places.empty() && this->places[this->place_of(hash)] == hash;
}

std::size_t hash_set::place_of(std::uint64_t hash) const
{
    // The number of places is a power of two, and one is always empty.
    const std::size_t mask = this->places.size() - 1;
    std::size_t place = hash & mask;
    while (this->places[place] != 0 && this->places[place] != hash)
    {
        place = (place + 1) & mask;
    }
    return place;
}

void hash_set::grow()
{
    std::vector<std::uint64_t> old = std::exchange(
        this->places, std::vector<std::uint64_t>(
                          std::max(smallest, this->places.size() * 2), 0));
    for (const std::uint64_t hash : old)
    {
        if (hash != 0)
        {
            this->places[this->place_of(hash)] = hash;
        }
    }
}

} // namespace jujubedrum
