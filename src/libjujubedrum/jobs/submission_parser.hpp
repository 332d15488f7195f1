#pragma once

#include "jobs/json_text.hpp"
#include "jobs/submission.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Parser of one job body. Must not be used for a second body.
class submission_parser
{
public:
    /// Both references must outlive the parser.
    submission_parser(const submission_limits& limits,
                      const default_options_lookup& defaults);

    /// Returns the submission, or nothing and the first error in `why`.
    std::optional<submission> parse(std::string_view text, job_reason& why);

private:
    using json = nlohmann::json;

    /// Stores the error and returns false.
    bool fail(job_error code, std::string where, std::string text);
    bool check_keys(const json& object, const std::string& where,
                    const std::vector<std::string_view>& keys);
    bool read_job(const json& body);
    bool read_id(const json& body);
    bool read_team(const json& body);
    bool read_times(const json& body);
    bool read_tasks(const json& body);
    bool read_task(const json& task, const std::string& where);
    bool read_kind(const json& task, const std::string& where,
                   std::string& kind);
    bool read_payload(const json& task, const std::string& where,
                      std::string& payload);
    bool read_options(const json& task, const std::string& where,
                      task_options& specified);
    /// Reads an optional integer; leaves `value` empty if it is absent. Fails
    /// if it is not an integer from `min_value` to `max_value`.
    bool read_integer(const json& object, const std::string& where,
                      const char* key, std::int64_t min_value,
                      std::int64_t max_value,
                      std::optional<std::int64_t>& value);

    const submission_limits& limits;
    const default_options_lookup& defaults;
    submission result;
    job_reason error;
};

} // namespace jujubedrum
