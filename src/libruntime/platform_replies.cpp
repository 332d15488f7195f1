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

template <typename T>
bool read_optional_number(const json& object, const char* key, T& value)
{
    return !object.contains(key) || read_number(object, key, value);
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

bool read_optional_text(const json& object, const char* key, std::string& value)
{
    return !object.contains(key) || read_text(object, key, value);
}

json parse_object(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json();
}

std::optional<instance_change> parse_change(const json& item)
{
    instance_change change;
    if (!item.is_object() || !read_text(item, "name", change.name) ||
        !read_text(item, "state", change.state) ||
        !read_optional_text(item, "role", change.role) ||
        !read_optional_text(item, "domain", change.domain) ||
        !read_optional_text(item, "region", change.region) ||
        !read_optional_text(item, "address", change.address) ||
        !read_optional_number(item, "port", change.port) ||
        !read_optional_number(item, "rpc_port", change.rpc_port) ||
        !read_optional_number(item, "weight", change.weight) ||
        !read_optional_number(item, "slots", change.slots) ||
        !read_optional_number(item, "memory_mb", change.memory_mb))
    {
        return std::nullopt;
    }
    return change;
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

std::optional<list_page> parse_list_page(const std::string& text)
{
    const json reply = parse_object(text);
    list_page page;
    if (!reply.is_object() || !reply.contains("changes") ||
        !reply["changes"].is_array() || !reply.contains("full") ||
        !reply["full"].is_boolean() ||
        !read_number(reply, "version", page.version))
    {
        return std::nullopt;
    }
    page.full = reply["full"].get<bool>();
    for (const json& item : reply["changes"])
    {
        auto change = parse_change(item);
        if (!change)
        {
            return std::nullopt;
        }
        page.changes.push_back(std::move(*change));
    }
    return page;
}

} // namespace jujubedrum
