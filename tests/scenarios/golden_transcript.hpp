#pragma once

#include "http_call.hpp"

#include <set>
#include <string>

namespace jujubedrum
{

/// Text of the requests and replies of a session. Values that differ between
/// runs are replaced by placeholders: times, ports, incarnations and long hex
/// strings such as generated ids.
class golden_transcript
{
public:
    /// Adds a JSON key whose values are replaced in later replies.
    void mask(const std::string& key) { this->masked_keys.insert(key); }
    /// Appends a request to the process `target` and its reply.
    void add(const std::string& target, const scenario_http_request& request,
             const scenario_http_reply& reply);
    [[nodiscard]] const std::string& text() const { return this->content; }

private:
    void append_body(const std::string& body, bool is_reply);
    [[nodiscard]] nlohmann::ordered_json
    replace_values(const nlohmann::ordered_json& value, const std::string& key,
                   bool is_reply) const;

    std::set<std::string> masked_keys;
    std::string content;
};

} // namespace jujubedrum
