#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace jujubedrum
{

/// One step of a script, with its line number and text for error messages.
struct scenario_step
{
    int line = 0;
    std::string text;
    std::vector<std::string> words;
};

/// Reads a script: one step per line; `#` starts a comment line. A word that
/// begins with `{` or `[`, or has one after `=`, extends to the matching
/// bracket. Ranges such as j{1..3} are not expanded. Throws scenario_error if
/// the file cannot be read or brackets do not match.
std::vector<scenario_step> read_script(const std::filesystem::path& path);

/// Expands a range in a word: "j{1..3}" becomes j1, j2, j3. A word without a
/// range is returned as it is.
std::vector<std::string> expand_range(const std::string& word);

} // namespace jujubedrum
