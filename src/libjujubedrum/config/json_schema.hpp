#pragma once

#include "config/config_error.hpp"

#include <memory>
#include <string_view>

#include <nlohmann/json.hpp>

namespace valijson
{
class Schema;
} // namespace valijson

namespace jujubedrum
{

/// Compiled JSON Schema. `check()` may run on several threads at once.
class json_schema
{
public:
    /// Compiles the schema.
    /// \param text a valid JSON Schema, a constant of the program; an invalid
    /// one throws.
    explicit json_schema(std::string_view text);
    ~json_schema();
    json_schema(const json_schema&) = delete;
    json_schema& operator=(const json_schema&) = delete;

    /// Returns whether the value matches the schema.
    /// \param value without "//" members, see `remove_comments`.
    /// \param why set to the first violation; `where()` is its JSON pointer.
    [[nodiscard]] bool check(const nlohmann::json& value,
                             config_reason& why) const;

private:
    nlohmann::json source;
    std::unique_ptr<valijson::Schema> compiled;
};

} // namespace jujubedrum
