#include "jobs/submission_parser.hpp"

#include "jobs/issued_id.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Returns whether the text is a valid name: 1 to 64 characters of those
/// allowed in ids.
bool is_name(std::string_view text)
{
    // The prefix "n" is there because `is_caller_id` refuses ids that start
    // with "i.", which are valid names.
    return !text.empty() && text.size() <= 64 &&
           submission::is_caller_id("n" + std::string(text));
}

/// Returns the first 64 characters of the key as a JSON pointer token.
std::string pointer_token(std::string_view key)
{
    std::string token;
    for (const char c : key.substr(0, 64))
    {
        token += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    }
    return token;
}

/// Maximum creation time: the end of the year 9999.
constexpr std::int64_t max_created_at_ms = 253'402'300'799'999;

const std::string* string_at(const nlohmann::json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
    {
        return nullptr;
    }
    return found->get_ptr<const std::string*>();
}

} // namespace

submission_parser::submission_parser(const submission_limits& limits,
                                     const default_options_lookup& defaults)
    : limits(limits)
    , defaults(defaults)
{
}

std::optional<submission> submission_parser::parse(std::string_view text,
                                                   job_reason& why)
{
    if (text.size() > this->limits.max_body_bytes)
    {
        why = job_reason(job_error::too_large, "",
                         "body has more than " +
                             std::to_string(this->limits.max_body_bytes) +
                             " bytes");
        return std::nullopt;
    }
    const std::optional<json> body =
        parse_json(text, this->limits.max_depth, why);
    if (!body)
    {
        return std::nullopt;
    }
    if (!this->read_job(*body))
    {
        why = this->error;
        return std::nullopt;
    }
    this->result.set_digest();
    return std::move(this->result);
}

bool submission_parser::fail(job_error code, std::string where,
                             std::string text)
{
    this->error = job_reason(code, std::move(where), std::move(text));
    return false;
}

bool submission_parser::check_keys(const json& object, const std::string& where,
                                   const std::vector<std::string_view>& keys)
{
    if (!object.is_object())
    {
        return this->fail(job_error::malformed, where, "must be an object");
    }
    for (const auto& item : object.items())
    {
        const std::string& key = item.key();
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
        {
            return this->fail(job_error::malformed,
                              where + "/" + pointer_token(key),
                              "unknown key; the nearest valid key is \"" +
                                  std::string(nearest_key(key, keys)) + "\"");
        }
    }
    return true;
}

bool submission_parser::read_job(const json& body)
{
    return this->check_keys(body, "",
                            {"id", "team", "created_at_ms", "deadline_ms",
                             "wait_ms", "tasks"}) &&
           this->read_id(body) && this->read_team(body) &&
           this->read_times(body) && this->read_tasks(body);
}

bool submission_parser::read_id(const json& body)
{
    if (!body.contains("id"))
    {
        return true;
    }
    const std::string* id = string_at(body, "id");
    if (id == nullptr)
    {
        return this->fail(job_error::malformed, "/id", "must be a string");
    }
    const bool valid = issued_id::has_prefix(*id)
                           ? issued_id::parse(*id).has_value()
                           : submission::is_caller_id(*id);
    if (!valid)
    {
        return this->fail(job_error::malformed, "/id",
                          "must be an issued id, or 1 to 128 characters of "
                          "[A-Za-z0-9_.:-] that do not start with \"i.\"");
    }
    this->result.id_value = *id;
    return true;
}

bool submission_parser::read_team(const json& body)
{
    const std::string* team = string_at(body, "team");
    if (team == nullptr || !is_name(*team))
    {
        return this->fail(job_error::malformed, "/team",
                          "must be a name of 1 to 64 characters of "
                          "[A-Za-z0-9_.:-]");
    }
    this->result.team_value = *team;
    return true;
}

bool submission_parser::read_times(const json& body)
{
    std::optional<std::int64_t> created;
    std::optional<std::int64_t> deadline;
    std::optional<std::int64_t> wait;
    if (!this->read_integer(body, "", "created_at_ms", 0, max_created_at_ms,
                            created) ||
        !this->read_integer(body, "", "deadline_ms", 1,
                            this->limits.max_deadline.count(), deadline) ||
        !this->read_integer(body, "", "wait_ms", 0,
                            this->limits.max_wait.count(), wait))
    {
        return false;
    }
    if (this->result.has_caller_id() && !created)
    {
        return this->fail(job_error::malformed, "/created_at_ms",
                          "is required with an id chosen by the caller");
    }
    if (created)
    {
        this->result.created = wall_time(*created);
    }
    if (deadline)
    {
        this->result.deadline_value = milliseconds(*deadline);
    }
    if (wait)
    {
        this->result.wait_value = milliseconds(*wait);
    }
    return true;
}

bool submission_parser::read_tasks(const json& body)
{
    const auto tasks = body.find("tasks");
    if (tasks == body.end() || !tasks->is_array() || tasks->empty())
    {
        return this->fail(job_error::malformed, "/tasks",
                          "must be an array of at least one task");
    }
    if (tasks->size() > this->limits.max_tasks)
    {
        return this->fail(job_error::too_large, "/tasks",
                          "has more than " +
                              std::to_string(this->limits.max_tasks) +
                              " tasks");
    }
    this->result.task_list.reserve(tasks->size());
    for (std::size_t i = 0; i < tasks->size(); ++i)
    {
        if (!this->read_task((*tasks)[i], "/tasks/" + std::to_string(i)))
        {
            return false;
        }
    }
    return true;
}

bool submission_parser::read_task(const json& task, const std::string& where)
{
    std::string kind;
    std::string payload;
    task_options specified;
    if (!this->check_keys(
            task, where,
            {"kind", "payload", "memory_mb", "run_ms", "repeatable"}) ||
        !this->read_kind(task, where, kind) ||
        !this->read_payload(task, where, payload) ||
        !this->read_options(task, where, specified))
    {
        return false;
    }
    const task_options team =
        this->defaults ? this->defaults(this->result.team_value, kind)
                       : task_options();
    this->result.task_list.emplace_back(std::move(kind), std::move(payload),
                                        specified, team);
    return true;
}

bool submission_parser::read_kind(const json& task, const std::string& where,
                                  std::string& kind)
{
    const std::string* text = string_at(task, "kind");
    if (text == nullptr || !is_name(*text))
    {
        return this->fail(job_error::malformed, where + "/kind",
                          "must be a name of 1 to 64 characters of "
                          "[A-Za-z0-9_.:-]");
    }
    kind = *text;
    return true;
}

bool submission_parser::read_payload(const json& task, const std::string& where,
                                     std::string& payload)
{
    const auto found = task.find("payload");
    if (found == task.end())
    {
        return this->fail(job_error::malformed, where + "/payload",
                          "is required; it may be null");
    }
    payload = compact_json(*found);
    if (payload.size() > this->limits.max_payload_bytes)
    {
        return this->fail(job_error::too_large, where + "/payload",
                          "has more than " +
                              std::to_string(this->limits.max_payload_bytes) +
                              " bytes");
    }
    return true;
}

bool submission_parser::read_options(const json& task, const std::string& where,
                                     task_options& specified)
{
    std::optional<std::int64_t> memory;
    std::optional<std::int64_t> run;
    if (!this->read_integer(task, where, "memory_mb", 1,
                            this->limits.max_memory_mb, memory) ||
        !this->read_integer(task, where, "run_ms",
                            this->limits.min_run_time.count(),
                            this->limits.max_run_time.count(), run))
    {
        return false;
    }
    if (memory)
    {
        specified.memory_mb = static_cast<std::uint32_t>(*memory);
    }
    if (run)
    {
        specified.run_time = milliseconds(*run);
    }
    const auto repeatable = task.find("repeatable");
    if (repeatable == task.end())
    {
        return true;
    }
    if (!repeatable->is_boolean())
    {
        return this->fail(job_error::malformed, where + "/repeatable",
                          "must be true or false");
    }
    specified.repeatable = repeatable->get<bool>();
    return true;
}

bool submission_parser::read_integer(const json& object,
                                     const std::string& where, const char* key,
                                     std::int64_t min_value,
                                     std::int64_t max_value,
                                     std::optional<std::int64_t>& value)
{
    const auto found = object.find(key);
    if (found == object.end())
    {
        return true;
    }
    const std::string pointer = where + "/" + key;
    if (!found->is_number_integer())
    {
        return this->fail(job_error::malformed, pointer, "must be an integer");
    }
    // An unsigned value above the signed range would become negative in the
    // conversion. No integer of a submission exceeds `max_created_at_ms`.
    const bool out_of_range = found->is_number_unsigned() &&
                              found->get<std::uint64_t>() >
                                  static_cast<std::uint64_t>(max_created_at_ms);
    const std::int64_t number =
        out_of_range ? max_value : found->get<std::int64_t>();
    if (out_of_range || number < min_value || number > max_value)
    {
        return this->fail(job_error::limit, pointer,
                          "must be from " + std::to_string(min_value) + " to " +
                              std::to_string(max_value));
    }
    value = number;
    return true;
}

} // namespace jujubedrum
