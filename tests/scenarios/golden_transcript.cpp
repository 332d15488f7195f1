#include "golden_transcript.hpp"

#include <regex>

namespace jujubedrum
{

namespace
{

bool is_time_key(const std::string& key)
{
    return key.ends_with("_at_ms") || key == "age_ms" || key == "uptime_ms";
}

bool is_port_key(const std::string& key)
{
    return key == "port" || key.ends_with("_port");
}

std::string replace_run_specific_text(std::string text)
{
    static const std::regex address(R"((127\.\d+\.\d+\.\d+):\d+)");
    static const std::regex hex(R"(\b[0-9a-f]{32,}\b)");
    static const std::regex incarnation(R"(\b[0-9a-f]{16}\b)");
    text = std::regex_replace(text, address, "$1:<port>");
    text = std::regex_replace(text, hex, "<hex>");
    return std::regex_replace(text, incarnation, "<incarnation>");
}

} // namespace

void golden_transcript::add(const std::string& target,
                            const scenario_http_request& request,
                            const scenario_http_reply& reply)
{
    this->content += "> " + target + " " + request.method + " " +
                     replace_run_specific_text(request.path) + "\n";
    this->append_body(request.body, false);
    this->content += reply.status == 0
                         ? std::string("< no reply\n")
                         : "< " + std::to_string(reply.status) + "\n";
    this->append_body(reply.body, true);
    this->content += "\n";
}

void golden_transcript::append_body(const std::string& body, bool is_reply)
{
    if (body.empty())
    {
        return;
    }
    const auto value = nlohmann::ordered_json::parse(body, nullptr, false);
    this->content +=
        (value.is_discarded()
             ? replace_run_specific_text(body)
             : replace_run_specific_text(
                   this->replace_values(value, "", is_reply).dump(2))) +
        "\n";
}

nlohmann::ordered_json
golden_transcript::replace_values(const nlohmann::ordered_json& value,
                                  const std::string& key, bool is_reply) const
{
    if (is_reply && this->masked_keys.contains(key))
    {
        return "<" + key + ">";
    }
    if (value.is_number() && (is_time_key(key) || is_port_key(key)))
    {
        return is_time_key(key) ? "<time>" : "<port>";
    }
    if (!value.is_structured())
    {
        return value;
    }
    nlohmann::ordered_json result = value;
    for (auto item = result.begin(); item != result.end(); ++item)
    {
        *item = this->replace_values(
            *item, value.is_object() ? item.key() : key, is_reply);
    }
    return result;
}

} // namespace jujubedrum
