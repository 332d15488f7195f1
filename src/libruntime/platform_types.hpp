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

/// Entry of the platform's list of instances.
struct instance_change
{
    std::string name;
    /// "entry" or "backend".
    std::string role;
    std::string domain;
    std::string region;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t rpc_port = 0;
    std::uint32_t weight = 1;
    std::uint32_t slots = 0;
    std::uint32_t memory_mb = 0;
    /// "live", "leaving" or "gone".
    std::string state;
    bool operator==(const instance_change&) const = default;
};

/// Reply to a read of the list.
struct list_page
{
    std::uint64_t version = 0;
    /// Whether the changes are the whole list, not those since a version.
    bool full = false;
    std::vector<instance_change> changes;
    bool operator==(const list_page&) const = default;
};

} // namespace jujubedrum
