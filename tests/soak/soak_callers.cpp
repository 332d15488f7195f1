#include "soak_callers.hpp"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Pause before a job is sent again; the platform's `resendMs`.
constexpr milliseconds resend_pause{1300};
constexpr std::uint32_t most_attempts = 3;
/// A caller's patience.
constexpr milliseconds time_limit{4000};
/// Beyond the patience an instance has to have answered, unless it was paused.
constexpr milliseconds reply_limit{6000};
constexpr std::size_t most_connections = 64;

} // namespace

soak_callers::soak_callers(event_loop& events, soak_cluster& target,
                           random_source& source, const std::string& address,
                           std::uint32_t jobs_per_second)
    : loop(events)
    , cluster(target)
    , random(source)
    , interval(std::chrono::seconds(1) / jobs_per_second)
{
    for (const soak_cluster::node& node : this->cluster.nodes())
    {
        this->clients.push_back(http_client::create(
            events, address, node.callers_port, most_connections));
    }
}

void soak_callers::begin()
{
    this->send_next();
}

void soak_callers::send_next()
{
    if (!this->sending)
    {
        return;
    }
    this->attempt(this->make_job(), this->random.below(this->clients.size()));
    this->loop.after(this->interval, [this] { this->send_next(); });
}

std::shared_ptr<soak_callers::job> soak_callers::make_job()
{
    auto made = std::make_shared<job>();
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(this->next_id++));
    made->id = id.data();
    const auto run_ms = 20 + this->random.below(200);
    const std::string payload = std::to_string(run_ms) + " " + made->id;
    made->body = nlohmann::json{{"taskSpec", payload},
                                {"bestEffort", true},
                                {"steps",
                                 {{{"count", 1 + this->random.below(5)},
                                   {"cpu", 6800},
                                   {"memMb", 64},
                                   {"estRuntimeMs", run_ms}}}}}
                     .dump();
    this->cluster.record().expect(made->id, payload);
    ++this->open;
    return made;
}

void soak_callers::probe(std::size_t node)
{
    auto made = this->make_job();
    made->probe = true;
    this->attempt(made, node);
}

void soak_callers::attempt(const std::shared_ptr<job>& which, std::size_t node)
{
    ++which->attempts;
    http_call call;
    call.method = "POST";
    call.target = "/q/" + which->id;
    call.host = "h";
    call.headers = {
        {"X-Jujubedrum-Deadline-Ms", std::to_string(time_limit.count())}};
    call.body = which->body;
    call.timeout = reply_limit;
    this->clients[node]->call(std::move(call),
                              [this, which](const http_reply& reply)
                              { this->on_reply(which, reply); });
}

void soak_callers::on_reply(const std::shared_ptr<job>& which,
                            const http_reply& reply)
{
    if (reply.status == 200)
    {
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        const std::string state =
            body.is_object() ? body.value("state", "") : "";
        if (state != "completed" && state != "failed")
        {
            this->faults.push_back("odd answer to " + which->id);
        }
        if (state == "completed" &&
            this->cluster.record().starts_of(which->id) == 0)
        {
            this->faults.push_back("completed without a start: " + which->id);
        }
        this->probes_done += which->probe && state == "completed" ? 1 : 0;
        this->close(*which, state);
        return;
    }
    const bool refused = reply.status == 503 || reply.status == 429;
    which->maybe_run =
        which->maybe_run || (!refused && reply.result != http_result::not_sent);
    if (refused)
    {
        if (!which->maybe_run &&
            this->cluster.record().starts_of(which->id) > 0)
        {
            this->faults.push_back("refused, yet started: " + which->id);
        }
        this->close(*which, "refused");
        return;
    }
    if (reply.status != 0 && reply.status != 502 && reply.status != 504)
    {
        this->faults.push_back("status " + std::to_string(reply.status) +
                               " for " + which->id);
    }
    if (which->attempts >= most_attempts)
    {
        this->close(*which, "given up");
        return;
    }
    this->loop.after(
        resend_pause, [this, which]
        { this->attempt(which, this->random.below(this->clients.size())); });
}

void soak_callers::close(const job&, const std::string& outcome)
{
    --this->open;
    ++this->counts[outcome];
}

} // namespace jujubedrum
