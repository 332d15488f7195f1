#include "platform_replies.hpp"

#include <limits>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

template <typename T>
bool read_number(const json& object, const char* key, T& value)
{
    const auto at = object.find(key);
    if (at == object.end() || !at->is_number_unsigned())
    {
        return false;
    }
    const auto number = at->get<std::uint64_t>();
    if (number > std::numeric_limits<T>::max())
    {
        return false;
    }
    value = static_cast<T>(number);
    return true;
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
    return value.is_object() ? value : json();
}

} // namespace

std::optional<std::uint64_t> parse_append_reply(const std::string& text)
{
    const json reply = parse_object(text);
    std::uint64_t offset = 0;
    if (!reply.is_object() || !read_number(reply, "offset", offset))
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
        !read_number(reply, "first_retained", page.first_retained) ||
        !read_number(reply, "next", page.next))
    {
        return std::nullopt;
    }
    for (const json& item : reply["records"])
    {
        log_record record;
        if (!item.is_object() || !read_number(item, "offset", record.offset) ||
            !read_text(item, "data", record.data))
        {
            return std::nullopt;
        }
        page.records.push_back(std::move(record));
    }
    return page;
}

} // namespace jujubedrum
