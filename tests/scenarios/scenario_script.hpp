#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace jujubedrum
{

/// One step of a script.
struct scenario_step
{
    int line = 0;
    std::string text;
    std::vector<std::string> words;
};

/// Reads a script: one step a line, `#` starts a comment line. A word that
/// begins with `{` or `[` extends to the matching bracket. A word with
/// {A..B} in it stands for one word per number. Throws scenario_error.
std::vector<scenario_step> read_script(const std::filesystem::path& path);

/// Returns the words that "j{1..3}" stands for: j1, j2, j3.
std::vector<std::string> expand_range(const std::string& word);

} // namespace jujubedrum
