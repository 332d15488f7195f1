#pragma once

#include <string>

namespace jujubedrum
{

/// Entry instance as placement sees it: a live peer with its weight.
struct entry_instance
{
    std::string name;
    std::string domain;
    std::string region;
    /// Share of the slots relative to other instances; at most 0 means none.
    double weight = 1.0;

    bool operator==(const entry_instance&) const = default;
};

} // namespace jujubedrum
