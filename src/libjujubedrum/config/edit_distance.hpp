#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Returns the minimum number of insertions, deletions, substitutions and
/// transpositions of adjacent characters that turn one text into the other.
/// Only the first 128 characters of each text are compared.
[[nodiscard]] std::size_t edit_distance(std::string_view left,
                                        std::string_view right);

/// Returns the candidate with the smallest edit distance to the text, the first
/// one on a tie; an empty string if there are no candidates.
[[nodiscard]] std::string
nearest_word(std::string_view text, const std::vector<std::string>& candidates);

} // namespace jujubedrum
