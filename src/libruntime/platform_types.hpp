#pragma once

#include "base/log_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Reply to a read of a stream.
struct records_page
{
    /// Offset of the oldest retained record.
    std::uint64_t first_retained = 0;
    /// Offset at which the next read starts.
    std::uint64_t next = 0;
    std::vector<log_record> records;
    bool operator==(const records_page&) const = default;
};

} // namespace jujubedrum
