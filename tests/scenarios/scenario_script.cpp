#include "scenario_script.hpp"

#include "scenario_error.hpp"

#include <cctype>
#include <fstream>
#include <regex>

namespace jujubedrum
{

namespace
{

std::size_t json_end(const std::string& text, std::size_t start)
{
    int depth = 0;
    bool quoted = false;
    for (std::size_t at = start; at < text.size(); ++at)
    {
        const char c = text[at];
        if (quoted && c == '\\')
        {
            ++at;
        }
        else if (c == '"')
        {
            quoted = !quoted;
        }
        else if (!quoted && (c == '{' || c == '['))
        {
            ++depth;
        }
        else if (!quoted && (c == '}' || c == ']') && --depth == 0)
        {
            return at + 1;
        }
    }
    throw scenario_error("unbalanced brackets: " + text);
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> words;
    std::size_t at = 0;
    while (at < text.size())
    {
        if (std::isspace(static_cast<unsigned char>(text[at])) != 0)
        {
            ++at;
            continue;
        }
        std::size_t end = at;
        // JSON may follow "key=", and may hold spaces.
        while (end < text.size() &&
               std::isspace(static_cast<unsigned char>(text[end])) == 0)
        {
            const bool starts_json = (text[end] == '{' || text[end] == '[') &&
                                     (end == at || text[end - 1] == '=');
            end = starts_json ? json_end(text, end) : end + 1;
        }
        words.push_back(text.substr(at, end - at));
        at = end;
    }
    return words;
}

} // namespace

std::vector<scenario_step> read_script(const std::filesystem::path& path)
{
    std::ifstream input(path);
    if (!input)
    {
        throw scenario_error("cannot read " + path.string());
    }
    std::vector<scenario_step> steps;
    std::string text;
    for (int line = 1; std::getline(input, text); ++line)
    {
        std::vector<std::string> words = split(text);
        if (!words.empty() && words[0][0] != '#')
        {
            steps.push_back({line, text, std::move(words)});
        }
    }
    return steps;
}

std::vector<std::string> expand_range(const std::string& word)
{
    static const std::regex pattern(R"((.*)\{(\d+)\.\.(\d+)\}(.*))");
    std::smatch match;
    if (!std::regex_match(word, match, pattern))
    {
        return {word};
    }
    std::vector<std::string> result;
    const int last = std::stoi(match[3]);
    for (int number = std::stoi(match[2]); number <= last; ++number)
    {
        result.push_back(match[1].str() + std::to_string(number) +
                         match[4].str());
    }
    return result;
}

} // namespace jujubedrum
