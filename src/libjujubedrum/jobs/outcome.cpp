#include "jobs/outcome.hpp"

#include "jobs/json_text.hpp"

#include <array>
#include <limits>
#include <utility>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 4> kind_names = {
    "complete", "not_run", "failed", "in_progress"};

constexpr std::array<std::string_view, 14> reason_names = {
    "none",        "over_quota",     "cannot_run",           "overloaded",
    "deadline",    "draining",       "log_unavailable",      "cancelled",
    "task_failed", "instance_dead",  "instance_unreachable", "id_expired",
    "clock_skew",  "answer_expired",
};

/// Maximum nesting depth of a reply: the depth of a submission (64) and 8
/// levels for the enclosing reply.
constexpr std::size_t max_reply_depth = 72;

template <typename Enum, std::size_t Size>
std::optional<Enum> parse_name(const std::array<std::string_view, Size>& names,
                               const json& value)
{
    for (std::size_t i = 0; value.is_string() && i < Size; ++i)
    {
        if (names[i] == value.get_ref<const std::string&>())
        {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

std::nullopt_t malformed(job_reason& why, const char* where, const char* text)
{
    why = job_reason(job_error::malformed, where, text);
    return std::nullopt;
}

std::string list_text(const std::vector<std::uint32_t>& tasks)
{
    std::string text = "[";
    for (const std::uint32_t task : tasks)
    {
        text += (text.size() > 1 ? "," : "") + std::to_string(task);
    }
    return text + "]";
}

/// Reads "may_have_run"; returns false if it is malformed. Leaves `tasks`
/// empty for "all".
bool read_may_have_run(const json& value,
                       std::optional<std::vector<std::uint32_t>>& tasks)
{
    if (value == "all")
    {
        return true;
    }
    if (!value.is_array())
    {
        return false;
    }
    tasks.emplace();
    for (const json& item : value)
    {
        if (!item.is_number_unsigned() ||
            item.get<std::uint64_t>() >
                std::numeric_limits<std::uint32_t>::max())
        {
            return false;
        }
        tasks->push_back(item.get<std::uint32_t>());
    }
    return true;
}

std::optional<outcome> read_complete(const json& value, job_reason& why)
{
    const auto answers = value.find("answers");
    if (answers == value.end() || !answers->is_array())
    {
        return malformed(why, "/answers", "must be an array");
    }
    std::vector<std::string> texts;
    texts.reserve(answers->size());
    for (const json& answer : *answers)
    {
        texts.push_back(compact_json(answer));
    }
    return outcome::complete(std::move(texts));
}

std::optional<outcome> read_incomplete(const json& value, outcome_kind kind,
                                       job_reason& why)
{
    const json reason = value.value("reason", json::object());
    if (!reason.is_object())
    {
        return malformed(why, "/reason", "must be an object");
    }
    const auto code = parse_name<outcome_reason>(
        reason_names, reason.value("code", json("none")));
    const json text = reason.value("text", json(""));
    if (!code || !text.is_string())
    {
        return malformed(why, "/reason", "has an unknown code or no text");
    }
    if (kind == outcome_kind::in_progress)
    {
        return outcome::in_progress(*code, text);
    }
    if (kind == outcome_kind::not_run)
    {
        const json retry = value.value("retry", json());
        return retry.is_boolean()
                   ? std::optional(outcome::not_run(*code, text, retry))
                   : malformed(why, "/retry", "must be true or false");
    }
    std::optional<std::vector<std::uint32_t>> tasks;
    if (!read_may_have_run(value.value("may_have_run", json()), tasks))
    {
        return malformed(why, "/may_have_run",
                         "must be \"all\" or an array of positions");
    }
    return outcome::failed(*code, text, std::move(tasks));
}

} // namespace

std::string_view to_string(outcome_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::string_view to_string(outcome_reason reason)
{
    return reason_names[static_cast<std::size_t>(reason)];
}

outcome outcome::complete(std::vector<std::string> answers)
{
    outcome result;
    result.kind_value = outcome_kind::complete;
    result.answer_list = std::move(answers);
    return result;
}

outcome outcome::not_run(outcome_reason reason, std::string text, bool retry)
{
    outcome result;
    result.kind_value = outcome_kind::not_run;
    result.reason_value = reason;
    result.text_value = std::move(text);
    result.retry_value = retry;
    return result;
}

outcome outcome::failed(outcome_reason reason, std::string text,
                        std::optional<std::vector<std::uint32_t>> tasks)
{
    outcome result;
    result.kind_value = outcome_kind::failed;
    result.reason_value = reason;
    result.text_value = std::move(text);
    result.may_have_run_tasks = std::move(tasks);
    return result;
}

outcome outcome::in_progress(outcome_reason reason, std::string text)
{
    outcome result;
    result.reason_value = reason;
    result.text_value = std::move(text);
    return result;
}

std::optional<outcome> outcome::from_json(std::string_view text,
                                          job_reason& why)
{
    const std::optional<json> value = parse_json(text, max_reply_depth, why);
    if (!value)
    {
        return std::nullopt;
    }
    if (!value->is_object())
    {
        return malformed(why, "", "must be an object");
    }
    const auto kind =
        parse_name<outcome_kind>(kind_names, value->value("outcome", json()));
    if (!kind)
    {
        return malformed(why, "/outcome", "must name one of the outcomes");
    }
    return *kind == outcome_kind::complete
               ? read_complete(*value, why)
               : read_incomplete(*value, *kind, why);
}

int outcome::http_status() const
{
    switch (this->kind_value)
    {
    case outcome_kind::complete:
        return 200;
    case outcome_kind::in_progress:
        return 202;
    case outcome_kind::failed:
        return 500;
    case outcome_kind::not_run:
        break;
    }
    if (this->reason_value == outcome_reason::over_quota)
    {
        return 429;
    }
    return this->retry_value ? 503 : 422;
}

std::string outcome::to_json(std::string_view id) const
{
    std::string text = R"({"id":)" + json_string(id) + R"(,"outcome":")" +
                       std::string(to_string(this->kind_value)) + "\"";
    if (this->kind_value == outcome_kind::complete)
    {
        text += R"(,"answers":[)";
        for (std::size_t i = 0; i < this->answer_list.size(); ++i)
        {
            text += i > 0 ? "," : "";
            text += this->answer_list[i];
        }
        return text + "]}";
    }
    text += R"(,"reason":{"code":")" +
            std::string(to_string(this->reason_value)) + R"(","text":)" +
            json_string(this->text_value) + "}";
    if (this->kind_value == outcome_kind::not_run)
    {
        text += this->retry_value ? R"(,"retry":true)" : R"(,"retry":false)";
    }
    if (this->kind_value == outcome_kind::failed)
    {
        text += R"(,"may_have_run":)" +
                (this->may_have_run_tasks ? list_text(*this->may_have_run_tasks)
                                          : R"("all")");
    }
    return text + "}";
}

std::size_t outcome::bytes() const
{
    std::size_t total = sizeof(outcome) + this->text_value.size();
    for (const std::string& answer : this->answer_list)
    {
        total += sizeof(std::string) + answer.size();
    }
    return total + (this->may_have_run_tasks
                        ? this->may_have_run_tasks->size() * 4
                        : 0);
}

} // namespace jujubedrum
