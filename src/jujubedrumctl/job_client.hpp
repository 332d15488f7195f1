#pragma once

#include "command_line.hpp"
#include "entry_client.hpp"
#include "exit_code.hpp"

#include <chrono>
#include <string>

namespace jujubedrum
{

/// Submits a job to an entry instance and collects its outcome, with retries
/// up to a deadline.
class job_client
{
public:
    /// \param deadline bound on the time of all calls together, from now.
    job_client(entry_client& client, std::chrono::milliseconds deadline);

    /// Submits a job, then collects and prints its outcome. After a lost reply
    /// or a failed claim of the id, the same submission is sent again with the
    /// same id.
    /// \param id the id of the job, which is also in the body.
    /// \return the exit code for the outcome; in_progress or unreachable if
    /// there is none by the deadline.
    exit_code submit(const command_line& line, const std::string& id,
                     const std::string& body);

    /// Polls for the outcome of a job until the deadline and prints it.
    /// \return as of submit().
    exit_code collect(const command_line& line, const std::string& id);

    /// Makes a call and returns its reply, whatever the status. Retries with
    /// backoff while the instance is unreachable or the reply is lost; returns
    /// nothing if that is so until the deadline.
    /// \param why set to the reason of the last failure.
    std::optional<entry_reply> call(const std::string& method,
                                    const std::string& path,
                                    const std::string& body, entry_reason& why);

    /// Returns whether any call was sent without a complete reply, so that it
    /// may have taken effect.
    [[nodiscard]] bool has_unanswered_call() const { return this->unanswered; }

private:
    [[nodiscard]] std::chrono::milliseconds remaining() const;
    exit_code print_call_error(const command_line& line, const std::string& id,
                               const entry_reason& why) const;

    entry_client& client;
    std::chrono::steady_clock::time_point deadline;
    bool unanswered = false;
};

} // namespace jujubedrum
