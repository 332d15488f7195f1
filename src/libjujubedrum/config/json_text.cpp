#include "config/json_text.hpp"

#include <set>
#include <vector>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

constexpr int max_depth = 16;

// Parser callback that records the first error in nesting depth or duplicate
// keys.
class parse_checker
{
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (depth > max_depth)
        {
            this->fail(config_error::malformed, "nested deeper than 16 levels");
            return false;
        }
        switch (event)
        {
        case json::parse_event_t::object_start:
            this->keys.emplace_back();
            break;
        case json::parse_event_t::object_end:
            this->keys.pop_back();
            break;
        case json::parse_event_t::key:
            this->check_key(parsed.get_ref<const std::string&>());
            break;
        default:
            break;
        }
        return true;
    }

    [[nodiscard]] bool failed() const
    {
        return this->reason.code() != config_error::none;
    }

    config_reason reason;

private:
    void check_key(const std::string& key)
    {
        if (!this->keys.back().insert(key).second && key != "//")
        {
            this->fail(config_error::duplicate_key,
                       "key \"" + key + "\" is named twice in one object");
        }
    }

    void fail(config_error code, const std::string& text)
    {
        if (!this->failed())
        {
            this->reason = {code, "", text};
        }
    }

    std::vector<std::set<std::string>> keys;
};

std::size_t skip_space(std::string_view text, std::size_t position)
{
    const std::size_t next = text.find_first_not_of(" \t\r\n", position);
    return next == std::string_view::npos ? text.size() : next;
}

// Returns the position after the string whose opening quotation mark is at
// the position.
std::size_t skip_string(std::string_view text, std::size_t position)
{
    for (++position; position < text.size() && text[position] != '"';
         ++position)
    {
        position += text[position] == '\\' ? 1 : 0;
    }
    return position + 1;
}

std::size_t skip_value(std::string_view text, std::size_t position)
{
    int depth = 0;
    while (position < text.size())
    {
        const char c = text[position];
        if (c == '"')
        {
            position = skip_string(text, position);
            continue;
        }
        if (depth == 0 && (c == ',' || c == '}' || c == ']'))
        {
            return position;
        }
        depth += c == '{' || c == '[' ? 1 : 0;
        depth -= c == '}' || c == ']' ? 1 : 0;
        ++position;
    }
    return position;
}

std::string_view trim_end(std::string_view text)
{
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return last == std::string_view::npos ? std::string_view()
                                          : text.substr(0, last + 1);
}

} // namespace

std::optional<nlohmann::json> parse_json_object(std::string_view text,
                                                config_reason& why,
                                                std::size_t max_bytes)
{
    if (text.size() > max_bytes)
    {
        why = {config_error::malformed, "",
               "longer than " + std::to_string(max_bytes) + " bytes"};
        return std::nullopt;
    }
    parse_checker checker;
    json value;
    try
    {
        value = json::parse(text, std::ref(checker));
    }
    catch (const json::exception& error)
    {
        why = {config_error::malformed, "", error.what()};
        return std::nullopt;
    }
    if (checker.failed())
    {
        why = checker.reason;
        return std::nullopt;
    }
    if (!value.is_object())
    {
        why = {config_error::malformed, "", "not a JSON object"};
        return std::nullopt;
    }
    return value;
}

std::map<std::string, std::string> member_texts(std::string_view text)
{
    std::map<std::string, std::string> members;
    std::size_t position = skip_space(text, 0) + 1;
    while ((position = skip_space(text, position)) < text.size() &&
           text[position] == '"')
    {
        const std::size_t key_end = skip_string(text, position);
        if (key_end > text.size())
        {
            break;
        }
        const json key = json::parse(text.substr(position, key_end - position),
                                     nullptr, false);
        const std::size_t colon = skip_space(text, key_end);
        const std::size_t start = skip_space(text, colon + 1);
        const std::size_t end = skip_value(text, start);
        if (!key.is_string() || end > text.size() || start > end)
        {
            break;
        }
        members[key.get<std::string>()] =
            std::string(trim_end(text.substr(start, end - start)));
        position = skip_space(text, end) + 1;
    }
    return members;
}

void remove_comments(nlohmann::json& value)
{
    if (value.is_object())
    {
        value.erase("//");
    }
    if (value.is_structured())
    {
        for (json& item : value)
        {
            remove_comments(item);
        }
    }
}

std::string child_pointer(const std::string& pointer, const std::string& key)
{
    std::string escaped;
    for (const char c : key)
    {
        escaped += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    }
    return pointer + "/" + escaped;
}

} // namespace jujubedrum
