#include "jobs/claim_record.hpp"

#include "jobs/issued_id.hpp"
#include "jobs/json_text.hpp"
#include "jobs/submission.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

/// Maximum nesting depth of a record. The object, the list and its entries
/// take three levels; the rest is for keys that this version does not know.
constexpr std::size_t max_record_depth = 8;

bool is_digest(const json& value)
{
    if (!value.is_string())
    {
        return false;
    }
    const auto& text = value.get_ref<const std::string&>();
    return text.size() == 64 &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::optional<std::uint64_t> hex_number(const json& value)
{
    return value.is_string()
               ? parse_incarnation(value.get_ref<const std::string&>())
               : std::nullopt;
}

std::optional<claimed_id> parse_claimed(const json& value)
{
    if (!value.is_array() || value.size() != 3 || !value[0].is_string() ||
        !submission::is_caller_id(value[0].get_ref<const std::string&>()) ||
        !is_digest(value[1]) || !value[2].is_number_unsigned())
    {
        return std::nullopt;
    }
    const auto created_at = value[2].get<std::uint64_t>();
    if (created_at > claim_record::max_created_at_ms)
    {
        return std::nullopt;
    }
    return claimed_id{value[0], value[1],
                      wall_time(static_cast<std::int64_t>(created_at))};
}

} // namespace

std::optional<claim_record> claim_record::parse(std::string_view text)
{
    job_reason ignored;
    const auto value = parse_json(text, max_record_depth, ignored);
    if (!value || !value->is_object())
    {
        return std::nullopt;
    }
    const json instance = value->value("by", json());
    const auto incarnation = hex_number(value->value("incarnation", json()));
    const auto nonce = hex_number(value->value("nonce", json()));
    const json ids = value->value("ids", json());
    if (!instance.is_string() || instance == "" || !incarnation || !nonce ||
        !ids.is_array() || ids.empty() || ids.size() > max_ids)
    {
        return std::nullopt;
    }
    claim_record record{instance, *incarnation, *nonce, {}};
    for (const json& item : ids)
    {
        std::optional<claimed_id> claimed = parse_claimed(item);
        if (!claimed)
        {
            return std::nullopt;
        }
        record.ids.push_back(std::move(*claimed));
    }
    return record;
}

std::string claim_record::to_json() const
{
    std::string text = R"({"by":)" + json_string(this->instance) +
                       R"(,"incarnation":")" +
                       incarnation_text(this->incarnation) + R"(","nonce":")" +
                       incarnation_text(this->nonce) + R"(","ids":[)";
    for (const claimed_id& claimed : this->ids)
    {
        text += text.back() == '[' ? "" : ",";
        text += R"([")" + claimed.id + R"(",")" + claimed.digest + R"(",)" +
                std::to_string(claimed.created_at.count()) + "]";
    }
    return text + "]}";
}

} // namespace jujubedrum
