#pragma once

#include <string>

#include <capnp/blob.h>
#include <capnp/common.h>

namespace jujubedrum
{

/// Returns the whole text for a message. The conversions of Cap'n Proto from
/// and to `std::string` end at the first U+0000.
[[nodiscard]] inline capnp::Text::Reader to_text(const std::string& from)
{
    return {from.c_str(), from.size()};
}

/// Returns the whole text of a message.
[[nodiscard]] inline std::string from_text(capnp::Text::Reader from)
{
    return {from.begin(), from.size()};
}

} // namespace jujubedrum
