#include "jobs/submission.hpp"

#include "base/hash.hpp"
#include "jobs/issued_id.hpp"
#include "jobs/submission_parser.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

bool is_id_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '.' || c == ':' ||
           c == '-';
}

std::string number_or_null(const std::optional<wall_time>& time)
{
    return time ? std::to_string(time->count()) : "null";
}

} // namespace

std::optional<submission>
submission::parse(std::string_view json, const submission_limits& limits,
                  const default_options_lookup& defaults, job_reason& why)
{
    submission_parser parser(limits, defaults);
    return parser.parse(json, why);
}

std::optional<submission> submission::parse(std::string_view json,
                                            const submission_limits& limits,
                                            job_reason& why)
{
    return parse(json, limits, default_options_lookup(), why);
}

bool submission::is_caller_id(std::string_view id)
{
    return !id.empty() && id.size() <= 128 && !issued_id::has_prefix(id) &&
           std::all_of(id.begin(), id.end(), is_id_character);
}

bool submission::has_caller_id() const
{
    return !this->id_value.empty() && !issued_id::has_prefix(this->id_value);
}

submission submission::with_id(std::string id) const
{
    submission copy = *this;
    copy.id_value = std::move(id);
    return copy;
}

submission submission::with_deadline(milliseconds deadline) const
{
    submission copy = *this;
    copy.deadline_value = deadline;
    return copy;
}

std::string submission::to_json() const
{
    // Id and team contain no character that must be escaped in JSON.
    std::string text = "{";
    if (!this->id_value.empty())
    {
        text += R"("id":")" + this->id_value + R"(",)";
    }
    text += R"("team":")" + this->team_value + R"(",)";
    const auto add = [&text](const char* key, const auto& time)
    {
        if (time)
        {
            text += std::string("\"") + key +
                    "\":" + std::to_string(time->count()) + ",";
        }
    };
    add("created_at_ms", this->created);
    add("deadline_ms", this->deadline_value);
    add("wait_ms", this->wait_value);
    return text + R"("tasks":)" + this->tasks_json() + "}";
}

std::string submission::tasks_json() const
{
    std::string text = "[";
    for (const task_spec& task : this->task_list)
    {
        text += text.size() > 1 ? "," : "";
        text += task.to_json();
    }
    return text + "]";
}

void submission::set_digest()
{
    this->digest_value =
        sha256_hex(R"({"team":")" + this->team_value + R"(","created_at_ms":)" +
                   number_or_null(this->created) + R"(,"tasks":)" +
                   this->tasks_json() + "}");
}

} // namespace jujubedrum
