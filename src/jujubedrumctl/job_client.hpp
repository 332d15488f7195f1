#pragma once

#include "command_line.hpp"
#include "entry_client.hpp"
#include "exit_code.hpp"

#include <chrono>
#include <string>

namespace jujubedrum
{

/// Calls an entry instance about one job, again and again until there is an
/// outcome or the deadline passes.
class job_client
{
public:
    /// \param deadline time from now.
    job_client(entry_client& client, std::chrono::milliseconds deadline);

    /// Submits the job, which holds its id, and collects its outcome. A lost
    /// reply is followed by the same submission with the same id.
    exit_code submit(const command_line& line, const std::string& id,
                     const std::string& body);

    /// Collects the outcome of a job.
    exit_code collect(const command_line& line, const std::string& id);

    /// Makes one call, repeated only while the instance cannot be reached or
    /// its reply is lost.
    std::optional<entry_reply> call(const std::string& method,
                                    const std::string& path,
                                    const std::string& body, entry_reason& why);

    /// Returns whether a reply was ever lost, so that a call may have taken
    /// effect.
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
