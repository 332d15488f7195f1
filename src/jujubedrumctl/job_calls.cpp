#include "job_calls.hpp"

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

constexpr milliseconds first_pause(50);
constexpr milliseconds longest_pause(1000);
// Longer than an instance holds a submission, shorter than most deadlines, so
// that a lost reply leaves time for another try.
constexpr milliseconds longest_call(35000);

/// Returns whether the instance could not claim the job's id, and so will not
/// run the job unless it is submitted again.
bool is_unclaimed(const entry_reply& reply)
{
    const auto reason = reply.body.is_object()
                            ? reply.body.value("reason", json::object())
                            : json::object();
    return outcome_code(reply) == exit_code::in_progress &&
           reason.is_object() &&
           reason.value("code", std::string()) == "log_unavailable";
}

} // namespace

job_calls::job_calls(entry_client& client, std::chrono::milliseconds deadline)
    : client(client)
    , deadline(steady::now() + deadline)
{
}

exit_code job_calls::submit(const command_line& line, const std::string& id,
                            const std::string& body)
{
    entry_reason why;
    auto reply = this->call("POST", "/v1/jobs", body, why);
    while (reply && is_unclaimed(*reply) && this->remaining() > longest_pause)
    {
        std::this_thread::sleep_for(longest_pause);
        reply = this->call("POST", "/v1/jobs", body, why);
    }
    if (!reply)
    {
        return this->no_reply(line, id, why);
    }
    if (is_unclaimed(*reply))
    {
        print_reply(line, *reply);
        return exit_code::in_progress;
    }
    if (outcome_code(*reply) == exit_code::in_progress)
    {
        return this->collect(line, id);
    }
    print_reply(line, *reply);
    return outcome_code(*reply);
}

exit_code job_calls::collect(const command_line& line, const std::string& id)
{
    milliseconds pause = first_pause;
    while (true)
    {
        entry_reason why;
        const auto reply = this->call("GET", "/v1/jobs/" + id, "", why);
        if (!reply)
        {
            return this->no_reply(line, id, why);
        }
        const exit_code code = outcome_code(*reply);
        if (code != exit_code::in_progress || this->remaining() <= pause)
        {
            print_reply(line, *reply);
            return code;
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, longest_pause);
    }
}

std::optional<entry_reply> job_calls::call(const std::string& method,
                                           const std::string& path,
                                           const std::string& body,
                                           entry_reason& why)
{
    milliseconds pause = first_pause;
    while (true)
    {
        const milliseconds limit =
            std::clamp(this->remaining(), first_pause, longest_call);
        auto reply = this->client.call(method, path, body, limit, why);
        if (reply)
        {
            return reply;
        }
        this->lost = this->lost || why.code() == entry_error::lost_reply;
        if (this->remaining() <= pause)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(pause * 2, longest_pause);
    }
}

milliseconds job_calls::remaining() const
{
    return std::chrono::duration_cast<milliseconds>(this->deadline -
                                                    steady::now());
}

exit_code job_calls::no_reply(const command_line& line, const std::string& id,
                              const entry_reason& why) const
{
    return print_error(
        line, this->lost ? exit_code::in_progress : exit_code::unreachable,
        why.where(), why.text() + "; job id " + id);
}

} // namespace jujubedrum
