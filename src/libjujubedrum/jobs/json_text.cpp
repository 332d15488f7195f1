#include "jobs/json_text.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

/// Parser callback that records the first key that occurs twice in an object.
class duplicate_finder
{
public:
    bool on_event(json::parse_event_t event, const json& value)
    {
        if (event == json::parse_event_t::object_start)
        {
            this->open_objects.emplace_back();
        }
        else if (event == json::parse_event_t::object_end)
        {
            this->open_objects.pop_back();
        }
        else if (event == json::parse_event_t::key)
        {
            const auto& key = value.get_ref<const std::string&>();
            if (!this->open_objects.back().insert(key).second && !this->found)
            {
                this->found = key;
            }
        }
        return true;
    }

    std::optional<std::string> found;

private:
    std::vector<std::set<std::string>> open_objects;
};

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j)
        {
            const std::size_t substitution = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substitution, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

} // namespace

std::size_t nesting_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t max_depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string)
        {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        }
        else if (c == '"')
        {
            in_string = true;
        }
        else if (c == '[' || c == '{')
        {
            max_depth = std::max(max_depth, ++depth);
        }
        else if ((c == ']' || c == '}') && depth > 0)
        {
            --depth;
        }
    }
    return max_depth;
}

std::optional<json> parse_json(std::string_view text, std::size_t max_depth,
                               job_reason& why)
{
    if (nesting_depth(text) > max_depth)
    {
        why = job_reason(job_error::malformed, "",
                         "nested deeper than " + std::to_string(max_depth) +
                             " levels");
        return std::nullopt;
    }
    duplicate_finder duplicates;
    json value = json::parse(
        text.begin(), text.end(),
        [&duplicates](int, json::parse_event_t event, json& parsed)
        { return duplicates.on_event(event, parsed); },
        false);
    if (value.is_discarded())
    {
        why = job_reason(job_error::malformed, "", "is not valid JSON");
        return std::nullopt;
    }
    if (duplicates.found)
    {
        why = job_reason(job_error::malformed, "",
                         "key " + json_string(*duplicates.found) +
                             " occurs twice in one object");
        return std::nullopt;
    }
    return value;
}

std::string compact_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string json_string(std::string_view text)
{
    return compact_json(json(std::string(text)));
}

std::string_view nearest_key(std::string_view key,
                             const std::vector<std::string_view>& keys)
{
    // The edit distance takes time proportional to the product of the lengths,
    // and a caller chooses the key, so only its first 64 characters count.
    const std::string_view prefix = key.substr(0, 64);
    return *std::min_element(
        keys.begin(), keys.end(),
        [prefix](std::string_view a, std::string_view b)
        { return edit_distance(prefix, a) < edit_distance(prefix, b); });
}

} // namespace jujubedrum
