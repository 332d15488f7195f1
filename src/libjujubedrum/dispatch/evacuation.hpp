#pragma once

#include <cstdint>
#include <string>

namespace jujubedrum
{

/// The operator's newest record on a failure domain: while it is active, no
/// task starts on the backend servers there.
struct evacuation
{
    std::string domain;
    std::uint64_t offset = 0; ///< of the record; a higher one is newer
    bool active = false;

    bool operator==(const evacuation&) const = default;
};

} // namespace jujubedrum
