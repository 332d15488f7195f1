#include "entry_session.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

/// Number of ids requested at once, to save round trips.
constexpr int ids_per_request = 64;

constexpr int deadline_ms = 60'000;

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

entry_session::entry_session(const run_options& settings,
                             const run_options::entry& entry, std::string name)
    : options(settings)
    , id_prefix(std::move(name))
    , client(entry.address, entry.port)
{
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
    this->client.set_read_timeout(
        std::chrono::milliseconds(deadline_ms + 5000));
    this->client.set_bearer_token_auth(settings.token);
}

std::string entry_session::submit(const arriving_job& job)
{
    const std::string id = this->next_id();
    if (id.empty())
    {
        return "no_id";
    }
    const auto reply = this->client.Post(
        "/v1/jobs", this->request_body(job, id), "application/json");
    if (!reply)
    {
        return "no_reply";
    }
    const json answer = json::parse(reply->body, nullptr, false);
    const bool has_outcome = answer.is_object() && answer.contains("outcome");
    return has_outcome ? answer["outcome"].get<std::string>()
                       : "http_" + std::to_string(reply->status);
}

std::string entry_session::next_id()
{
    if (this->options.own_ids)
    {
        return this->id_prefix + "." + std::to_string(this->own_id_count++);
    }
    if (this->ids.empty())
    {
        const auto reply = this->client.Post(
            "/v1/ids", json{{"count", ids_per_request}}.dump(),
            "application/json");
        const json answer =
            reply ? json::parse(reply->body, nullptr, false) : json();
        if (answer.is_object() && answer.contains("ids"))
        {
            this->ids = answer["ids"].get<std::deque<std::string>>();
        }
    }
    if (this->ids.empty())
    {
        return "";
    }
    std::string id = std::move(this->ids.front());
    this->ids.pop_front();
    return id;
}

std::string entry_session::request_body(const arriving_job& job,
                                        const std::string& id) const
{
    json tasks = json::array();
    for (const arriving_task& task : job.tasks)
    {
        const double scale = this->options.work_scale / 1000.0;
        const double actual_ms = static_cast<double>(task.work.count()) *
                                 this->options.fastest_speed * scale;
        const auto declared_ms = static_cast<std::int64_t>(
            static_cast<double>(task.declared.count()) * scale);
        tasks.push_back(
            {{"kind", task.kind},
             {"payload", {{"actual_ms", actual_ms}}},
             {"run_ms", std::clamp<std::int64_t>(declared_ms, 1, 60'000)},
             {"memory_mb", 64},
             {"repeatable", job.repeatable}});
    }
    json request = {{"id", id},
                    {"team", this->options.team},
                    {"deadline_ms", deadline_ms},
                    {"wait_ms", deadline_ms},
                    {"tasks", std::move(tasks)}};
    if (this->options.own_ids)
    {
        request["created_at_ms"] = wall_ms();
    }
    return request.dump();
}

} // namespace jujubedrum
