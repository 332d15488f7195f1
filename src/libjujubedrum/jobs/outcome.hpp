#pragma once

#include "jobs/job_error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubedrum
{

/// The four ways a request about a job can end.
enum class outcome_kind
{
    complete,
    not_run,
    failed,
    in_progress,
};

/// Why a job was not run, failed or is not finished.
enum class outcome_reason
{
    none,
    over_quota,           ///< not_run: the team is over its quota (429)
    cannot_run,           ///< not_run: no backend server can ever run it (422)
    overloaded,           ///< not_run: a bounded queue or table is full
    deadline,             ///< the deadline passed or cannot be met
    draining,             ///< not_run: the instance is stopping
    log_unavailable,      ///< in_progress: the id could not be claimed
    cancelled,            ///< the caller cancelled the job
    task_failed,          ///< a task failed permanently
    instance_dead,        ///< failed: the instance that ran the job is gone
    instance_unreachable, ///< in_progress: collect the outcome later
    id_expired,           ///< failed: the id is too old to be verified
    clock_skew,           ///< not_run: the id is from the future
    answer_expired,       ///< failed: it did run, the answer is gone
};

/// Returns the name of the kind in replies, such as "not_run".
[[nodiscard]] std::string_view to_string(outcome_kind kind);
/// Returns the name of the reason in replies, such as "over_quota".
[[nodiscard]] std::string_view to_string(outcome_reason reason);

/// What a caller learns about a job: complete, or not at all.
class outcome
{
public:
    /// All answers in task order; each is a JSON value as text.
    static outcome complete(std::vector<std::string> answers);
    /// No byte of any task reached a backend server.
    /// \param retry whether submitting again may help.
    static outcome not_run(outcome_reason reason, std::string text, bool retry);
    /// Something may have run: the tasks named, or all if `tasks` is empty.
    static outcome
    failed(outcome_reason reason, std::string text,
           std::optional<std::vector<std::uint32_t>> tasks = std::nullopt);
    /// Unfinished, or its instance cannot be reached; collect later.
    static outcome in_progress(outcome_reason reason = outcome_reason::none,
                               std::string text = "");
    /// Parses a reply as `to_json` writes it.
    static std::optional<outcome> from_json(std::string_view json,
                                            job_reason& why);

    [[nodiscard]] outcome_kind kind() const { return this->kind_value; }
    [[nodiscard]] outcome_reason reason() const { return this->reason_value; }
    /// Returns the explanation for people.
    [[nodiscard]] const std::string& text() const { return this->text_value; }
    /// Returns whether submitting again, under a new id, may help.
    [[nodiscard]] bool retry() const { return this->retry_value; }
    /// Returns the answers of a complete job, each a JSON value as text.
    [[nodiscard]] const std::vector<std::string>& answers() const
    {
        return this->answer_list;
    }
    /// Returns the positions of the tasks that may have run in a failed job;
    /// empty optional: any of them.
    [[nodiscard]] const std::optional<std::vector<std::uint32_t>>&
    may_have_run() const
    {
        return this->may_have_run_tasks;
    }
    /// Returns the HTTP status: 200, 202, 422, 429, 500 or 503.
    [[nodiscard]] int http_status() const;
    /// Returns the reply body for the job of that id.
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
