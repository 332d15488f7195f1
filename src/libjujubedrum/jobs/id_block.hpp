#pragma once

#include "jobs/issued_id.hpp"

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// Consecutive ids issued by one call of `id_issuer::issue`.
class id_block
{
public:
    id_block(issued_id first, std::uint64_t count);

    /// Returns the number of ids.
    [[nodiscard]] std::uint64_t size() const { return this->count; }
    /// Returns the id at the position, which must be below `size()`.
    [[nodiscard]] issued_id at(std::uint64_t position) const;
    /// Returns the first id.
    [[nodiscard]] const issued_id& first() const { return this->first_id; }
    /// Returns `{"ids":[...]}` with the ids as text.
    [[nodiscard]] std::string to_json() const;

    bool operator==(const id_block&) const = default;

private:
    issued_id first_id;
    std::uint64_t count = 0;
};

} // namespace jujubedrum
