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
    /// Offset of the first record the log still holds.
    std::uint64_t first_retained = 0;
    /// Offset to read from next.
    std::uint64_t next = 0;
    std::vector<log_record> records;
    bool operator==(const records_page&) const = default;
};

} // namespace jujubedrum
