#include "deployment.hpp"

#include "users/free_port.hpp"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr const char* loopback = "127.0.0.1";
constexpr std::uint32_t server_cpu_milli = 16000;
constexpr std::uint32_t task_cpu_milli = 6800;
/// Servers write their entries about this often (`heartbeatMs`).
constexpr milliseconds entry_interval{1500};
constexpr milliseconds probe_interval{100};
constexpr std::size_t max_caller_connections = 16;

std::string endpoint_text(std::uint16_t port)
{
    return std::string(loopback) + ":" + std::to_string(port);
}

} // namespace

deployment::deployment(event_loop& events, std::string daemon,
                       std::filesystem::path own_folder,
                       const std::string& record_file)
    : loop(events)
    , program(std::move(daemon))
    , folder(std::move(own_folder))
    , record(record_file)
    , log_store(events)
{
    this->recorder.trace_to(this->record);
    if (!this->log_store.listen())
    {
        throw std::runtime_error("the log store cannot listen");
    }
    this->log_store.publish(
        nlohmann::json{{"version", 1},
                       {"routes",
                        {{{"name", "r1"},
                          {"host", "h"},
                          {"pathPrefix", "/q/"},
                          {"backend", "service"},
                          {"timeoutMs", 9000},
                          {"targetLatencyMs", 100},
                          {"priority", 0},
                          {"maxAttempts", 3},
                          {"stretch", 1.6}}}},
                       {"services", nlohmann::json::array()}}
            .dump());
    this->refresh_entries();
    this->probe_readiness();
}

task_server_standin& deployment::add_server(const std::string& id,
                                            const std::string& domain)
{
    backend added;
    added.domain = domain;
    added.standin = std::make_unique<task_server_standin>(
        this->loop, id, server_cpu_milli, this->recorder);
    if (!added.standin->listen())
    {
        throw std::runtime_error("a backend server cannot listen");
    }
    this->log_store.write_server(
        id, added.standin->entry(domain, added.standin->port()));
    return *this->servers.emplace(id, std::move(added)).first->second.standin;
}

deployment::node& deployment::add_node(const std::string& name,
                                       const std::string& domain)
{
    auto added = std::make_unique<node>();
    added->name = name;
    added->domain = domain;
    added->callers_port = free_port(this->loop, loopback);
    added->operators_port = free_port(this->loop, loopback);
    const std::uint16_t peers_port = free_port(this->loop, loopback);
    added->peer_relay =
        std::make_unique<held_relay>(this->loop, loopback, peers_port);
    const std::filesystem::path settings = this->folder / (name + ".json");
    // The values of deploy/instance.json; `announced_peers` puts the relay into
    // the path between the instances.
    std::ofstream(settings) << nlohmann::json{
        {"instance", name},
        {"domain", domain},
        {"callers", endpoint_text(added->callers_port)},
        {"operators", endpoint_text(added->operators_port)},
        {"peers", endpoint_text(peers_port)},
        {"announced_peers", endpoint_text(added->peer_relay->port())},
        {"store", endpoint_text(this->log_store.port())},
        {"cpu_share", 0.25},
        {"link_mbps", 1000.0},
        {"memory_mb", "260"},
        {"max_fds", "4100"},
        {"longest_lease_ms", 1000},
        {"grace_s", 6},
        {"far_factor", 2},
        {"holder_lease_ms", 3000},
        {"log_level", "info"}}.dump();
    added->process = std::make_unique<node_process>(
        this->program, settings.string(),
        (this->folder / (name + ".log")).string());
    added->process->start();
    added->client = http_client::create(
        this->loop, loopback, added->callers_port, max_caller_connections);
    this->note("start instance " + name + " in " + domain);
    this->nodes.push_back(std::move(added));
    return *this->nodes.back();
}

bool deployment::await_ready(milliseconds limit)
{
    return this->loop.run_until(
        [this]
        {
            return std::all_of(this->nodes.begin(), this->nodes.end(),
                               [](const auto& each) { return each->ready; });
        },
        limit);
}

void deployment::probe_readiness()
{
    for (const auto& each : this->nodes)
    {
        auto probe =
            http_client::create(this->loop, loopback, each->operators_port, 1);
        http_call call;
        call.target = "/v1/ready";
        call.timeout = probe_interval;
        probe->call(std::move(call),
                    [probe, at = each.get()](const http_reply& reply)
                    {
                        at->ready = reply.status == 200;
                        probe->close();
                    });
    }
    this->loop.after(probe_interval, [this] { this->probe_readiness(); });
}

void deployment::refresh_entries()
{
    for (const auto& [id, each] : this->servers)
    {
        if (each.listed)
        {
            this->log_store.write_server(
                id, each.standin->entry(each.domain, each.standin->port()));
        }
    }
    this->loop.after(entry_interval, [this] { this->refresh_entries(); });
}

std::shared_ptr<deployment::caller_attempt>
deployment::submit(node& to, const std::string& job, std::uint32_t tasks,
                   milliseconds declared, milliseconds real, milliseconds limit,
                   const std::string& argument)
{
    const std::string payload =
        std::to_string(real.count()) + " " + job + argument;
    this->recorder.expect(job, payload);
    this->note("send job " + job + " to " + to.name);
    http_call call;
    call.method = "POST";
    call.target = "/q/" + job;
    call.host = "h";
    call.headers = {
        {"X-Jujubedrum-Deadline-Ms", std::to_string(limit.count())}};
    call.body = nlohmann::json{{"taskSpec", payload},
                               {"bestEffort", true},
                               {"steps",
                                {{{"count", tasks},
                                  {"cpu", task_cpu_milli},
                                  {"memMb", 64},
                                  {"estRuntimeMs", declared.count()}}}}}
                    .dump();
    call.timeout = limit;
    return this->call(to, job, std::move(call));
}

std::shared_ptr<deployment::caller_attempt>
deployment::submit_steps(node& to, const std::string& job, std::uint32_t steps,
                         milliseconds run_time, milliseconds limit)
{
    const std::string payload = std::to_string(run_time.count()) + " " + job;
    this->recorder.expect(job, payload);
    this->note("send job " + job + " of " + std::to_string(steps) +
               " steps to " + to.name);
    nlohmann::json list = nlohmann::json::array();
    for (std::uint32_t step = 0; step < steps; ++step)
    {
        list.push_back({{"count", 1},
                        {"cpu", task_cpu_milli},
                        {"memMb", 64},
                        {"estRuntimeMs", run_time.count()}});
        if (step > 0)
        {
            list.back()["after"] = {step - 1};
        }
    }
    http_call call;
    call.method = "POST";
    call.target = "/q/" + job;
    call.host = "h";
    call.headers = {
        {"X-Jujubedrum-Deadline-Ms", std::to_string(limit.count())}};
    call.body = nlohmann::json{
        {"taskSpec", payload},
        {"bestEffort", true},
        {"steps",
         list}}.dump();
    call.timeout = limit;
    return this->call(to, job, std::move(call));
}

std::shared_ptr<deployment::caller_attempt>
deployment::cancel(node& to, const std::string& job, milliseconds limit)
{
    this->note("cancel job " + job + " at " + to.name);
    http_call call;
    call.method = "DELETE";
    call.target = "/q/" + job;
    call.host = "h";
    call.timeout = limit;
    return this->call(to, job, std::move(call));
}

std::shared_ptr<deployment::caller_attempt>
deployment::call(node& to, const std::string& job, http_call request)
{
    auto attempt = std::make_shared<caller_attempt>();
    attempt->job = job;
    const std::string what = request.method + " of job " + job;
    to.client->call(
        std::move(request),
        [this, attempt, what, name = to.name](const http_reply& reply)
        {
            attempt->status = reply.status;
            attempt->ended = true;
            const auto body = nlohmann::json::parse(reply.body, nullptr, false);
            attempt->state = body.is_object() ? body.value("state", "") : "";
            this->note("answer of " + name + " to " + what + ": " +
                       std::to_string(reply.status) + " " + reply.body +
                       reply.error);
        });
    return attempt;
}

void deployment::drain_server(const std::string& id)
{
    const backend& server = this->servers.at(id);
    server.standin->set_draining(true);
    this->log_store.write_server(
        id, server.standin->entry(server.domain, server.standin->port()));
    this->note("server " + id + " is listed as draining");
}

void deployment::remove_server(const std::string& id)
{
    this->servers.at(id).listed = false;
    this->servers.at(id).standin->set_unresponsive(true);
    this->log_store.write_server(id, "");
    this->note("server " + id + " has left");
}

void deployment::note(const std::string& text)
{
    this->record << event_loop::wall_now().count() << " " << text << "\n"
                 << std::flush;
}

} // namespace jujubedrum
