#include "job_client.hpp"

#include "entry_options.hpp"
#include "output.hpp"

#include <algorithm>
#include <thread>

namespace jujubedrum
{

namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
using json = nlohmann::ordered_json;

constexpr milliseconds min_backoff(50);
constexpr milliseconds max_backoff(1000);
// Longer than an instance holds a submission before it replies, and shorter
// than most deadlines, so that a lost reply leaves time for a retry.
constexpr milliseconds max_call_timeout(35000);

/// Returns whether the instance could not claim the job's id on the log. It
/// does not run such a job unless it is submitted again.
bool is_unclaimed(const entry_reply& reply)
{
    const auto reason = reply.body.is_object()
                            ? reply.body.value("reason", json::object())
                            : json::object();
    return reply_exit_code(reply) == exit_code::in_progress &&
           reason.is_object() &&
           reason.value("code", std::string()) == "log_unavailable";
}

} // namespace

job_client::job_client(entry_client& client, std::chrono::milliseconds deadline)
    : client(client)
    , deadline(steady::now() + deadline)
{
}

exit_code job_client::submit(const command_line& line, const std::string& id,
                             const std::string& body)
{
    entry_reason why;
    auto reply = this->call("POST", "/v1/jobs", body, why);
    while (reply && is_unclaimed(*reply) && this->remaining() > max_backoff)
    {
        std::this_thread::sleep_for(max_backoff);
        reply = this->call("POST", "/v1/jobs", body, why);
    }
    if (!reply)
    {
        return this->print_call_error(line, id, why);
    }
    if (is_unclaimed(*reply))
    {
        print_reply(line, *reply);
        return exit_code::in_progress;
    }
    if (reply_exit_code(*reply) == exit_code::in_progress)
    {
        return this->collect(line, id);
    }
    print_reply(line, *reply);
    return reply_exit_code(*reply);
}

exit_code job_client::collect(const command_line& line, const std::string& id)
{
    milliseconds backoff = min_backoff;
    while (true)
    {
        entry_reason why;
        const auto reply = this->call("GET", "/v1/jobs/" + id, "", why);
        if (!reply)
        {
            return this->print_call_error(line, id, why);
        }
        const exit_code code = reply_exit_code(*reply);
        if (code != exit_code::in_progress || this->remaining() <= backoff)
        {
            print_reply(line, *reply);
            return code;
        }
        std::this_thread::sleep_for(backoff);
        backoff = std::min(backoff * 2, max_backoff);
    }
}

std::optional<entry_reply> job_client::call(const std::string& method,
                                            const std::string& path,
                                            const std::string& body,
                                            entry_reason& why)
{
    milliseconds backoff = min_backoff;
    while (true)
    {
        const milliseconds timeout =
            std::clamp(this->remaining(), min_backoff, max_call_timeout);
        auto reply = this->client.call(method, path, body, timeout, why);
        if (reply)
        {
            return reply;
        }
        this->unanswered =
            this->unanswered || why.code() == entry_error::unanswered;
        if (this->remaining() <= backoff)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(backoff);
        backoff = std::min(backoff * 2, max_backoff);
    }
}

milliseconds job_client::remaining() const
{
    return std::chrono::duration_cast<milliseconds>(this->deadline -
                                                    steady::now());
}

exit_code job_client::print_call_error(const command_line& line,
                                       const std::string& id,
                                       const entry_reason& why) const
{
    return print_error(line,
                       this->unanswered ? exit_code::in_progress
                                        : exit_code::unreachable,
                       why.where(), why.text() + "; job id " + id);
}

} // namespace jujubedrum
