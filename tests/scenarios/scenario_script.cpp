#include "scenario_script.hpp"

#include "scenario_error.hpp"

#include <cctype>
#include <fstream>
#include <regex>

namespace jujubedrum
{

namespace
{

std::size_t find_json_end(const std::string& text, std::size_t start)
{
    int depth = 0;
    bool quoted = false;
    for (std::size_t position = start; position < text.size(); ++position)
    {
        const char c = text[position];
        if (quoted && c == '\\')
        {
            ++position;
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
            return position + 1;
        }
    }
    throw scenario_error("unbalanced brackets: " + text);
}

std::vector<std::string> split_words(const std::string& text)
{
    std::vector<std::string> words;
    std::size_t position = 0;
    while (position < text.size())
    {
        if (std::isspace(static_cast<unsigned char>(text[position])) != 0)
        {
            ++position;
            continue;
        }
        std::size_t end = position;
        // JSON may contain spaces and may follow "key=".
        while (end < text.size() &&
               std::isspace(static_cast<unsigned char>(text[end])) == 0)
        {
            const bool starts_json = (text[end] == '{' || text[end] == '[') &&
                                     (end == position || text[end - 1] == '=');
            end = starts_json ? find_json_end(text, end) : end + 1;
        }
        words.push_back(text.substr(position, end - position));
        position = end;
    }
    return words;
}

} // namespace

std::vector<scenario_step> read_script(const std::filesystem::path& path)
{
    std::ifstream input(path);
    if (!input)
    {
        throw scenario_error("cannot open script " + path.string());
    }
    std::vector<scenario_step> steps;
    std::string text;
    for (int line = 1; std::getline(input, text); ++line)
    {
        std::vector<std::string> words = split_words(text);
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
