#include "platform_replies.hpp"

#include "base/json_number.hpp"

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

bool read_offset(const json& object, const char* key, std::uint64_t& value)
{
    const auto at = object.find(key);
    const auto number =
        at == object.end() ? std::nullopt : whole_number<std::uint64_t>(*at);
    value = number.value_or(value);
    return number.has_value();
}

bool read_text(const json& object, const char* key, std::string& value)
{
    const auto at = object.find(key);
    if (at == object.end() || !at->is_string())
    {
        return false;
    }
    value = at->get<std::string>();
    return true;
}

json parse_object(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    // A copy of a deeply nested value would exhaust the stack: copying recurses
    // once for each level, unlike parsing and destroying.
    if (!value.is_object())
    {
        return {};
    }
    return value;
}

} // namespace

std::optional<std::uint64_t> parse_append_reply(const std::string& text)
{
    const json reply = parse_object(text);
    std::uint64_t offset = 0;
    if (!reply.is_object() || !read_offset(reply, "offset", offset))
    {
        return std::nullopt;
    }
    return offset;
}

std::optional<records_page> parse_records_page(const std::string& text)
{
    const json reply = parse_object(text);
    records_page page;
    if (!reply.is_object() || !reply.contains("records") ||
        !reply["records"].is_array() ||
        !read_offset(reply, "first_retained", page.first_retained) ||
        !read_offset(reply, "next", page.next))
    {
        return std::nullopt;
    }
    for (const json& item : reply["records"])
    {
        log_record record;
        if (!item.is_object() || !read_offset(item, "offset", record.offset) ||
            !read_text(item, "data", record.data))
        {
            return std::nullopt;
        }
        page.records.push_back(std::move(record));
    }
    return page;
}

} // namespace jujubedrum
