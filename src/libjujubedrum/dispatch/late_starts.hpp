#pragma once

#include "base/time.hpp"
#include "dispatch/server_requests.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Remembers starts that got no answer and may be carried out late, also by the
/// next boot of the server, which has seen no fencing token. Until then their
/// tasks start only on the same server: a later boot refuses or reports the
/// late start there, and no run of the task is on any other server.
///
/// Holds the unanswered starts of 12 s at one holder. All holders start 18,000
/// tasks a second; with 22 of them and a tenth of the starts unanswered, that
/// is 10,000 entries of about 200 bytes.
class late_starts
{
public:
    void add(const task_id& task, const std::string& server, instant until,
             instant now);
    /// Returns the server on which the task may still be started late; empty if
    /// there is none.
    [[nodiscard]] std::optional<std::string> server_of(const task_id& task,
                                                       instant now) const;
    /// Returns whether a task of the job may still be started late.
    [[nodiscard]] bool has_job(const std::string& job, instant now) const;

private:
    struct late_start
    {
        std::string server;
        instant until{0};
    };
    struct added_task
    {
        task_id task;
        instant until{0};
    };

    std::map<task_id, late_start> tasks;
    std::deque<added_task> order; ///< oldest first
};

} // namespace jujubedrum
