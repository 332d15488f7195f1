#pragma once

#include <string>

namespace jujubedrum
{

/// Live entry instance among which slots are divided.
struct entry_instance
{
    std::string name;
    std::string domain;
    std::string region;
    /// Share of the slots relative to other instances; 0 or less: no slots.
    double weight = 1.0;

    bool operator==(const entry_instance&) const = default;
};

} // namespace jujubedrum
