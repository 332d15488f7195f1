#pragma once

#include "base/time.hpp"
#include "jobs/job_error.hpp"
#include "jobs/submission_limits.hpp"
#include "jobs/task_spec.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Job as submitted by the caller. Immutable; all values are within the limits.
class submission
{
public:
    /// Parses a job body. On an error returns nothing and sets `why`;
    /// `why.where()` is the JSON pointer of the invalid value.
    static std::optional<submission>
    parse(std::string_view json, const submission_limits& limits,
          const default_options_lookup& defaults, job_reason& why);
    /// Parses a job body without team defaults.
    static std::optional<submission> parse(std::string_view json,
                                           const submission_limits& limits,
                                           job_reason& why);
    /// Returns whether the text is a valid id chosen by a caller: 1 to 128
    /// characters of [A-Za-z0-9_.:-] that do not start with "i.".
    static bool is_caller_id(std::string_view id);

    /// Returns the id of the job; empty if the caller specified none.
    [[nodiscard]] const std::string& id() const { return this->id_value; }
    /// Returns whether the id was chosen by the caller and must be claimed.
    [[nodiscard]] bool has_caller_id() const;
    /// Returns the team that submits the job.
    [[nodiscard]] const std::string& team() const { return this->team_value; }
    /// Returns when the caller created the job; always present if the id was
    /// chosen by the caller.
    [[nodiscard]] std::optional<wall_time> created_at() const
    {
        return this->created;
    }
    /// Returns the time allowed for the whole job, counted from its receipt.
    [[nodiscard]] std::optional<milliseconds> deadline() const
    {
        return this->deadline_value;
    }
    /// Returns the time after which an unfinished job is answered as
    /// `in_progress`.
    [[nodiscard]] std::optional<milliseconds> wait() const
    {
        return this->wait_value;
    }
    /// Returns the tasks in the order of their answers; at least one.
    [[nodiscard]] const std::vector<task_spec>& tasks() const
    {
        return this->task_list;
    }
    /// Returns the SHA-256 of team, creation time and the tasks as specified,
    /// in hex. Team defaults, deadline and wait are left out, so that a
    /// resubmission after a configuration change or with less time left is
    /// still the same job.
    [[nodiscard]] const std::string& digest() const
    {
        return this->digest_value;
    }

    /// Returns a copy with another id.
    [[nodiscard]] submission with_id(std::string id) const;
    /// Returns a copy with another deadline, counted from its receipt.
    [[nodiscard]] submission with_deadline(milliseconds deadline) const;

    /// Returns a JSON body that a peer parses to the same submission. The peer
    /// applies the defaults of its own configuration.
    [[nodiscard]] std::string to_json() const;

    bool operator==(const submission&) const = default;

private:
    friend class submission_parser;

    [[nodiscard]] std::string tasks_json() const;
    void set_digest();

    std::string id_value;
    std::string team_value;
    std::optional<wall_time> created;
    std::optional<milliseconds> deadline_value;
    std::optional<milliseconds> wait_value;
    std::vector<task_spec> task_list;
    std::string digest_value;
};

} // namespace jujubedrum
