#include "config/schema_fault.hpp"

#include "config/edit_distance.hpp"
#include "config/json_text.hpp"

#include <regex>
#include <vector>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;

// Bounds the recursion of std::regex, one level per character. No pattern of
// the schemas matches a longer string.
constexpr std::size_t max_matched_chars = 256;

bool has_type(const json& value, const std::string& type)
{
    if (type == "integer")
    {
        return value.is_number_integer();
    }
    return type == (value.is_number() ? "number" : value.type_name());
}

bool matches(const std::string& text, const std::string& pattern)
{
    return text.size() <= max_matched_chars &&
           std::regex_search(text, std::regex(pattern));
}

std::vector<std::string> keys_of(const json& object)
{
    std::vector<std::string> keys;
    for (const auto& [key, value] : object.items())
    {
        keys.push_back(key);
    }
    return keys;
}

config_reason unknown_key(const json& properties, const std::string& key,
                          const std::string& pointer)
{
    const std::string nearest = nearest_word(key, keys_of(properties));
    return {config_error::unknown_key, child_pointer(pointer, key),
            nearest.empty()
                ? "unknown key"
                : "unknown key; the nearest valid key is \"" + nearest + "\""};
}

std::optional<config_reason> missing_key(const json& schema, const json& value,
                                         const std::string& pointer)
{
    for (const json& key : schema.value("required", json::array()))
    {
        if (!value.contains(key.get<std::string>()))
        {
            return config_reason(config_error::missing_key,
                                 child_pointer(pointer, key),
                                 "missing, but required");
        }
    }
    return std::nullopt;
}

std::optional<config_reason> member_fault(const json& schema,
                                          const std::string& key,
                                          const json& value,
                                          const std::string& pointer)
{
    const json properties = schema.value("properties", json::object());
    const std::string member_pointer = child_pointer(pointer, key);
    if (properties.contains(key))
    {
        return find_schema_fault(properties[key], value, member_pointer);
    }
    const json names = schema.value("propertyNames", json::object());
    if (names.contains("pattern") && !matches(key, names["pattern"]))
    {
        return config_reason(config_error::out_of_bounds, member_pointer,
                             "the name does not match " +
                                 names["pattern"].get<std::string>());
    }
    const auto additional = schema.find("additionalProperties");
    if (additional == schema.end())
    {
        return std::nullopt;
    }
    if (additional->is_boolean())
    {
        return additional->get<bool>()
                   ? std::nullopt
                   : std::optional(unknown_key(properties, key, pointer));
    }
    return find_schema_fault(*additional, value, member_pointer);
}

std::optional<config_reason> object_fault(const json& schema, const json& value,
                                          const std::string& pointer)
{
    for (const auto& [key, member] : value.items())
    {
        if (auto fault = member_fault(schema, key, member, pointer))
        {
            return fault;
        }
    }
    return missing_key(schema, value, pointer);
}

std::optional<config_reason> array_fault(const json& schema, const json& value,
                                         const std::string& pointer)
{
    if (!schema.contains("items"))
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < value.size(); ++i)
    {
        if (auto fault = find_schema_fault(schema["items"], value[i],
                                           pointer + "/" + std::to_string(i)))
        {
            return fault;
        }
    }
    return std::nullopt;
}

std::optional<config_reason> number_fault(const json& schema, const json& value,
                                          const std::string& pointer)
{
    const bool low = schema.contains("minimum") && value < schema.at("minimum");
    const bool high =
        schema.contains("maximum") && value > schema.at("maximum");
    if (!low && !high)
    {
        return std::nullopt;
    }
    return config_reason(config_error::out_of_bounds, pointer,
                         value.dump() + " is outside " +
                             schema.value("minimum", json()).dump() + " to " +
                             schema.value("maximum", json()).dump());
}

std::optional<config_reason> text_fault(const json& schema, const json& value,
                                        const std::string& pointer)
{
    const auto& text = value.get_ref<const std::string&>();
    if (schema.contains("enum"))
    {
        std::vector<std::string> allowed_values = schema["enum"];
        for (const std::string& allowed : allowed_values)
        {
            if (allowed == text)
            {
                return std::nullopt;
            }
        }
        return config_reason(config_error::out_of_bounds, pointer,
                             "no such word; the nearest valid word is \"" +
                                 nearest_word(text, allowed_values) + "\"");
    }
    if (schema.contains("pattern") && !matches(text, schema["pattern"]))
    {
        return config_reason(config_error::out_of_bounds, pointer,
                             "the text does not match " +
                                 schema["pattern"].get<std::string>());
    }
    return std::nullopt;
}

} // namespace

std::optional<config_reason> find_schema_fault(const nlohmann::json& schema,
                                               const nlohmann::json& value,
                                               const std::string& pointer)
{
    const std::string type = schema.value("type", std::string());
    if (!type.empty() && !has_type(value, type))
    {
        return config_reason(config_error::wrong_type, pointer,
                             "expected " + type + ", found " +
                                 value.type_name());
    }
    if (value.is_object())
    {
        return object_fault(schema, value, pointer);
    }
    if (value.is_array())
    {
        return array_fault(schema, value, pointer);
    }
    if (value.is_string())
    {
        return text_fault(schema, value, pointer);
    }
    return value.is_number() ? number_fault(schema, value, pointer)
                             : std::nullopt;
}

} // namespace jujubedrum
