#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// One id in a claim record.
class claimed_id
{
public:
    std::string id;
    /// SHA-256 of the submission, in hex.
    std::string digest;
    /// When the caller created the job. Readers evict the claim by it.
    wall_time created_at{};

    bool operator==(const claimed_id&) const = default;
};

/// Record on a claim stream:
/// `{"by","incarnation","nonce","ids":[[id,digest,created_at_ms]...]}`.
class claim_record
{
public:
    /// Maximum number of ids in one record.
    static constexpr std::size_t max_ids = 512;
    /// Maximum creation time in a record: the end of the year 9999.
    static constexpr std::uint64_t max_created_at_ms = 253'402'300'799'999;

    /// Parses a record; returns nothing if it is malformed.
    static std::optional<claim_record> parse(std::string_view json);

    /// Returns the record as JSON.
    [[nodiscard]] std::string to_json() const;

    /// Name of the instance that claims the ids, `by` in JSON.
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    std::vector<claimed_id> ids;

    bool operator==(const claim_record&) const = default;
};

} // namespace jujubedrum
