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

/// Records of one stream that a read returned.
struct record_page
{
    std::uint64_t first_retained = 0;
    /// Offset to read from next.
    std::uint64_t next = 0;
    std::vector<std::pair<std::uint64_t, std::string>> records;
};

/// One append-only stream with offsets from 0, retained by count and age.
class record_log
{
public:
    record_log(std::size_t retain_records, microseconds retain_time);

    /// Appends a record and returns its offset.
    std::uint64_t append(std::string data, instant now);
    /// Drops records that are over the count or older than the age.
    void expire(instant now);
    /// Returns the records from an offset on, at most `max` of them and none
    /// of the newest `lag`.
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
