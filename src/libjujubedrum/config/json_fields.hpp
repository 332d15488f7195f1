#pragma once

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Sets the value to the member's if the member is present. The object must
/// have passed a schema that checks the member's type and bounds.
template <typename T>
void read_field(const nlohmann::json& object, const char* key, T& value)
{
    const auto found = object.find(key);
    if (found != object.end())
    {
        value = found->get<T>();
    }
}

/// Sets the value to the member's, in milliseconds, if the member is present.
inline void read_field(const nlohmann::json& object, const char* key,
                       std::chrono::milliseconds& value)
{
    const auto found = object.find(key);
    if (found != object.end())
    {
        value = std::chrono::milliseconds(found->get<long>());
    }
}

/// Returns the member, or an empty object if it is absent.
[[nodiscard]] inline nlohmann::json object_member(const nlohmann::json& object,
                                                  const char* key)
{
    return object.value(key, nlohmann::json::object());
}

} // namespace jujubedrum
