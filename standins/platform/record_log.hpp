#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// Result of reading a stream.
struct record_page
{
    std::uint64_t first_retained = 0;
    /// Offset to continue reading from.
    std::uint64_t next = 0;
    /// Records with their offsets.
    std::vector<std::pair<std::uint64_t, std::string>> records;
};

/// Append-only stream of records with offsets from 0. Old records are dropped
/// by count and by age.
class record_log
{
public:
    record_log(std::size_t retain_records, microseconds retain_time);

    /// Appends a record and returns its offset.
    std::uint64_t append(std::string data, instant now);
    /// Drops records beyond the retained count or age.
    void expire(instant now);
    /// Returns at most `max` records from an offset on, without the `lag`
    /// newest records of the stream.
    [[nodiscard]] record_page read(std::uint64_t from, std::size_t max,
                                   std::uint64_t lag) const;
    /// Returns the offset of the next append.
    [[nodiscard]] std::uint64_t head() const;

private:
    struct record
    {
        std::string data;
        instant appended;
    };

    std::size_t retain_records;
    microseconds retain_time;
    std::uint64_t first = 0;
    std::deque<record> records;
};

} // namespace jujubedrum
