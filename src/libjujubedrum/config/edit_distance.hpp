#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Returns the number of inserted, removed, replaced or swapped neighbouring
/// characters between two texts.
[[nodiscard]] std::size_t edit_distance(std::string_view left,
                                        std::string_view right);

/// Returns the candidate closest to the text, the first one on a tie; empty if
/// there is none.
[[nodiscard]] std::string
nearest_word(std::string_view text, const std::vector<std::string>& candidates);

} // namespace jujubedrum
