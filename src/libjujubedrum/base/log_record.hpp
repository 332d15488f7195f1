#pragma once

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Record of a stream of the platform's log.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;

    bool operator==(const log_record&) const = default;
};

} // namespace jujubedrum
