#pragma once

#include "base/time.hpp"
#include "jobs/id_block.hpp"
#include "jobs/issued_id.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace jujubedrum
{

/// Issues the ids of one process and checks which of them may still be used.
/// Whether an id was used is recorded in the job table, which keeps each id at
/// least as long as the issuer accepts it (answer lifetime >= id lifetime).
class id_issuer
{
public:
    /// Maximum number of ids in one block.
    static constexpr std::uint64_t max_block_size = 4096;

    id_issuer(std::string instance, std::uint64_t incarnation,
              microseconds lifetime);

    /// Issues `count` ids, clamped to 1 to `max_block_size`.
    id_block issue(std::uint64_t count, instant now);
    /// Returns whether the id has the instance and incarnation of this
    /// process. Does not check the sequence number.
    [[nodiscard]] bool owns(const issued_id& id) const;
    /// Returns whether the id was issued by this process and has not expired.
    [[nodiscard]] bool usable(const issued_id& id, instant now);
    /// Returns whether the id was issued by this process, expired or not.
    [[nodiscard]] bool was_issued(const issued_id& id) const;
    /// Returns the highest expired sequence number; 0 if none.
    [[nodiscard]] std::uint64_t last_expired_sequence(instant now);
    /// Returns the number of stored ranges: at most about one per second of
    /// the lifetime, or 64 for a lifetime below 64 s.
    [[nodiscard]] std::size_t ranges() const { return this->issued.size(); }

private:
    /// Consecutive ids that expire together.
    struct range
    {
        std::uint64_t last;
        instant first_issued_at;
    };

    void expire(instant now);

    std::string instance;
    std::uint64_t incarnation;
    microseconds lifetime;
    std::uint64_t last_sequence = 0;
    std::uint64_t expired_through = 0;
    std::deque<range> issued;
};

} // namespace jujubedrum
