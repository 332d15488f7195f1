#pragma once

#include "jobs/job_error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// Kinds of outcome of a request for a job.
enum class outcome_kind
{
    complete,
    not_run,
    failed,
    in_progress,
};

/// Reason why a job was not run, failed or is not finished.
enum class outcome_reason
{
    none,
    over_quota,           ///< not_run: the team is over its quota (429)
    cannot_run,           ///< not_run: no backend server can ever run it (422)
    overloaded,           ///< not_run: a bounded queue or table is full
    deadline,             ///< the deadline has passed or cannot be met
    draining,             ///< not_run: the instance is stopping
    log_unavailable,      ///< in_progress: the id could not be claimed
    cancelled,            ///< the caller cancelled the job
    task_failed,          ///< a task failed permanently
    instance_dead,        ///< failed: the instance that ran the job is dead
    instance_unreachable, ///< in_progress: collect the outcome later
    id_expired,           ///< failed: the id is too old to be verified
    clock_skew,           ///< not_run: the id was created in the future
    answer_expired,       ///< failed: the job ran, its answer was removed
};

/// Returns the name of the kind in replies, such as "not_run".
[[nodiscard]] std::string_view to_string(outcome_kind kind);
/// Returns the name of the reason in replies, such as "over_quota".
[[nodiscard]] std::string_view to_string(outcome_reason reason);

/// Outcome of a job as reported to the caller. Answers are reported only if
/// all of them are present.
class outcome
{
public:
    /// Makes the outcome of a job whose tasks all succeeded.
    /// \param answers the answers in task order, each a JSON value as text.
    static outcome complete(std::vector<std::string> answers);
    /// Makes the outcome of a job of which no byte reached a backend server.
    /// \param retry whether submitting the job again may succeed.
    static outcome not_run(outcome_reason reason, std::string text, bool retry);
    /// Makes the outcome of a failed job of which tasks may have run.
    /// \param tasks positions of the tasks that may have run; `nullopt` if any
    /// of them may have run.
    static outcome
    failed(outcome_reason reason, std::string text,
           std::optional<std::vector<std::uint32_t>> tasks = std::nullopt);
    /// Makes the outcome of a job that has not finished or whose instance
    /// cannot be reached. The caller collects the final outcome later.
    static outcome in_progress(outcome_reason reason = outcome_reason::none,
                               std::string text = "");
    /// Parses a reply written by `to_json`; on an error returns nothing and
    /// sets `why`.
    static std::optional<outcome> from_json(std::string_view json,
                                            job_reason& why);

    [[nodiscard]] outcome_kind kind() const { return this->kind_value; }
    [[nodiscard]] outcome_reason reason() const { return this->reason_value; }
    /// Returns the explanation in plain text.
    [[nodiscard]] const std::string& text() const { return this->text_value; }
    /// Returns whether submitting the job again under a new id may succeed.
    [[nodiscard]] bool retry() const { return this->retry_value; }
    /// Returns the answers of a complete job, each a JSON value as text.
    [[nodiscard]] const std::vector<std::string>& answers() const
    {
        return this->answer_list;
    }
    /// Returns the positions of the tasks that may have run in a failed job;
    /// `nullopt` if any of them may have run.
    [[nodiscard]] const std::optional<std::vector<std::uint32_t>>&
    may_have_run() const
    {
        return this->may_have_run_tasks;
    }
    /// Returns the HTTP status: 200, 202, 422, 429, 500 or 503.
    [[nodiscard]] int http_status() const;
    /// Returns the reply body as JSON, with the id of the job.
    [[nodiscard]] std::string to_json(std::string_view id) const;
    /// Returns the approximate memory use in bytes.
    [[nodiscard]] std::size_t bytes() const;

    bool operator==(const outcome&) const = default;

private:
    outcome() = default;

    outcome_kind kind_value = outcome_kind::in_progress;
    outcome_reason reason_value = outcome_reason::none;
    std::string text_value;
    bool retry_value = false;
    std::vector<std::string> answer_list;
    std::optional<std::vector<std::uint32_t>> may_have_run_tasks;
};

} // namespace jujubedrum
