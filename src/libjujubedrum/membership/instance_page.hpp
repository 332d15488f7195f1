#pragma once

#include "membership/instance_info.hpp"
#include "membership/membership_error.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// One reply of the platform's list: all instances, or the changes since the
/// version that was asked for.
struct instance_page
{
    std::uint64_t version = 0;
    /// Whether the page holds all instances: those missing from it are removed.
    bool full = false;
    std::vector<instance_info> changes;
    /// Names of the malformed entries, which are not among the changes; empty
    /// where the name is unreadable.
    std::vector<std::string> malformed = {};
    std::string malformed_reason = {}; ///< of the first malformed entry

    bool operator==(const instance_page&) const = default;
};

/// Bounds of an accepted list page; the design size is about 1,000 instances.
inline constexpr std::size_t max_listed_instances = 4096;
inline constexpr std::size_t max_page_bytes = std::size_t{4} << 20U;

/// Parses the reply of `GET /v1/instances`. Returns nothing if the page exceeds
/// a bound or is no list. An entry that is malformed, also one with an unknown
/// role or state, is left out; the others hold. Unknown fields are ignored.
/// \param why set if nothing is returned; `where` is a JSON pointer.
[[nodiscard]] std::optional<instance_page>
parse_instance_page(std::string_view json, membership_reason& why);

} // namespace jujubedrum
