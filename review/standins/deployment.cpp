#include "deployment.hpp"

#include "users/free_port.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujubedrum::review
{

namespace
{

using nlohmann::json;

constexpr milliseconds heartbeat_interval{1500};

/// Instances of this process, for `end_instances`.
constexpr std::size_t max_instances = 64;
std::array<volatile pid_t, max_instances> instance_pids{};

/// Ends the instances when this process is told to stop or fails.
void end_instances(int)
{
    for (const pid_t pid : instance_pids)
    {
        if (pid > 0)
        {
            ::kill(pid, SIGKILL);
        }
    }
    ::_exit(2);
}

void set_pid(node& instance, pid_t pid)
{
    for (volatile pid_t& each : instance_pids)
    {
        if (each == (instance.pid > 0 ? instance.pid : 0))
        {
            each = pid > 0 ? pid : 0;
            break;
        }
    }
    instance.pid = pid;
}

/// Returns the loopback address of this run. Outgoing connections leave from
/// another one, so a port stays free while its owner is restarted.
const std::string& own_address()
{
    static const std::string value = unique_loopback_address();
    return value;
}

std::string replace_all(std::string text, const std::string& from,
                        const std::string& to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
    return text;
}

std::string read_text(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
    {
        throw std::runtime_error("cannot read " + path.string());
    }
    return text.str();
}

} // namespace

deployment::deployment(event_loop& events, const deployment_options& wanted,
                       run_observer& observer)
    : loop(events)
    , options(wanted)
    , store_standin(events)
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT})
    {
        std::signal(number, end_instances);
    }
    if (!this->store_standin.listen())
    {
        throw std::runtime_error("the store cannot listen");
    }
    this->store_standin.publish(json{
        {"version", 7},
        {"routes",
         {{{"name", "r"},
           {"host", host},
           {"pathPrefix", prefix},
           {"kind", "non_idempotent"},
           {"backend", "workers"},
           {"timeoutMs", this->options.timeout_ms},
           {"targetLatencyMs", 60},
           {"priority", 0},
           {"maxAttempts", 4},
           {"stretch", 1.6}}}},
        {"services",
         {{{"name", "workers"},
           {"healthPath", "/healthz"},
           {"maxConns", 64},
           {"protocol", "h1"},
           {"tls", false},
           {"admissionCheck", this->options.guards},
           {"standby", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 262144},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs",
           15000}}}}.dump());
    for (std::size_t zone = 0; zone < this->options.zones.size(); ++zone)
    {
        for (std::size_t i = 0; i < this->options.workers_per_zone; ++i)
        {
            const std::string number = std::to_string(zone + 1);
            auto added = std::make_unique<worker_standin>(
                events, "i-" + number + "-" + std::to_string(i), own_address(),
                this->options.zones[zone], "r" + number + "-1",
                this->options.kinds[i % this->options.kinds.size()],
                this->options.guards, observer);
            if (!added->listen())
            {
                throw std::runtime_error("a worker cannot listen");
            }
            this->worker_list.push_back(std::move(added));
        }
    }
    this->refresh_entries();
    for (std::size_t zone = 0; zone < this->options.zones.size(); ++zone)
    {
        for (std::size_t i = 0; i < this->options.nodes_per_zone; ++i)
        {
            this->add_node(zone, i);
        }
    }
}

deployment::~deployment()
{
    for (const auto& instance : this->node_list)
    {
        this->kill(*instance);
    }
}

void deployment::kill(node& instance)
{
    if (instance.pid > 0)
    {
        ::kill(instance.pid, SIGKILL);
        int ignored = 0;
        ::waitpid(instance.pid, &ignored, 0);
        set_pid(instance, -1);
    }
}

void deployment::add_node(std::size_t zone, std::size_t index)
{
    auto added = std::make_unique<node>();
    added->zone = this->options.zones[zone];
    added->name = "frontend-" + added->zone + "-" + std::to_string(index + 1);
    added->settings = this->options.folder / (added->name + ".json");
    added->log = this->options.folder / (added->name + ".log");
    added->callers_port = free_port(this->loop, own_address());
    added->operators_port = free_port(this->loop, own_address());
    const auto local = [](std::uint16_t port)
    { return own_address() + ":" + std::to_string(port); };
    const std::uint16_t peers_port = free_port(this->loop, own_address());
    // Filled in as the platform does it.
    const std::map<std::string, std::string> values{
        {"nodeName", added->name},
        {"zone", added->zone},
        {"listenAddrs.front", local(added->callers_port)},
        {"listenAddrs.readiness", local(added->operators_port)},
        {"ip", own_address()},
        {"internalPorts.0", std::to_string(peers_port)},
        {"platform.address",
         "127.0.0.1:" + std::to_string(this->store_standin.port())},
        {"limits.cpuShare", "0.25"},
        {"limits.linkMbps", "1000.0"},
        {"bounds.maxHoldMs", "1000"},
        {"bounds.graceS", "6"},
        {"bounds.farFactor", "1.5"},
        {"bounds.leaseMs", "3000"}};
    std::string settings =
        read_text(this->options.root / "deploy" / "instance.json");
    for (const auto& [key, value] : values)
    {
        settings = replace_all(settings, "{{" + key + "}}", value);
    }
    if (this->options.relays)
    {
        added->peer_relay = std::make_unique<fault_relay>(
            this->loop, own_address(), peers_port);
        added->store_relay = std::make_unique<fault_relay>(
            this->loop, "127.0.0.1", this->store_standin.port());
        json object = json::parse(settings);
        object["announced_peers"] =
            "127.0.0.1:" + std::to_string(added->peer_relay->port());
        object["store"] =
            "127.0.0.1:" + std::to_string(added->store_relay->port());
        settings = object.dump();
    }
    std::ofstream(added->settings) << settings;
    added->callers = http_client::create(this->loop, own_address(),
                                         added->callers_port, 256);
    added->operators = http_client::create(this->loop, own_address(),
                                           added->operators_port, 4);
    this->spawn(*added);
    this->node_list.push_back(std::move(added));
}

void deployment::spawn(node& instance)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t log_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     instance.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited listening socket would keep the port of a worker in use.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program =
        (this->options.root / "target" / "bin" / "jujubedrum-node").string();
    std::string variable = "JUJUBEDRUM_NODE_FILE=" + instance.settings.string();
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::array<char*, 2> environment{variable.data(), nullptr};
    pid_t pid = -1;
    const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                  arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error == 0)
    {
        set_pid(instance, pid);
    }
    else
    {
        throw std::runtime_error("cannot start " + program);
    }
}

void deployment::signal(const node& instance, int number) const
{
    if (instance.pid > 0)
    {
        ::kill(instance.pid, number);
    }
}

void deployment::cut(node& instance)
{
    instance.peer_relay->blackhole(true, true);
    instance.store_relay->blackhole(true, true);
}

void deployment::heal(node& instance)
{
    instance.peer_relay->heal();
    instance.store_relay->heal();
}

std::map<std::string, std::uint64_t> deployment::held_fences(node& instance)
{
    std::map<std::string, std::uint64_t> result;
    bool answered = false;
    http_call call;
    call.target = "/state";
    instance.operators->call(
        std::move(call),
        [&](const http_reply& reply)
        {
            answered = true;
            const json state = json::parse(reply.body, nullptr, false);
            if (!state.is_object() || !state.contains("pools"))
            {
                return;
            }
            for (const json& pool : state["pools"])
            {
                result[pool.value("domain", "") + "/" +
                       std::to_string(pool.value("shard", 0))] =
                    pool.value("token", std::uint64_t{0});
            }
        });
    (void)this->loop.run_until([&] { return answered; }, milliseconds(1500));
    return result;
}

void deployment::write_entry(worker_standin& worker)
{
    this->store_standin.write_server(worker.id(), worker.entry());
}

void deployment::refresh_entries()
{
    for (const auto& worker : this->worker_list)
    {
        if (worker->up())
        {
            this->write_entry(*worker);
        }
    }
    this->loop.after(heartbeat_interval, [this] { this->refresh_entries(); });
}

void deployment::run_for(milliseconds time)
{
    const instant end = event_loop::now() + time;
    (void)this->loop.run_until([end] { return event_loop::now() >= end; },
                               time + milliseconds(1000));
}

bool deployment::await_ready(milliseconds limit)
{
    const instant end = event_loop::now() + limit;
    while (event_loop::now() < end)
    {
        std::size_t answered = 0;
        std::size_t ready = 0;
        for (const auto& instance : this->node_list)
        {
            http_call call;
            call.target = "/v1/ready";
            instance->operators->call(std::move(call),
                                      [&](const http_reply& reply)
                                      {
                                          ++answered;
                                          ready += reply.status == 200 ? 1 : 0;
                                      });
        }
        (void)this->loop.run_until(
            [&] { return answered == this->node_list.size(); },
            milliseconds(3000));
        if (ready == this->node_list.size())
        {
            return true;
        }
        this->run_for(milliseconds(200));
    }
    return false;
}

std::vector<std::string> deployment::holders()
{
    std::vector<std::string> result;
    std::size_t answered = 0;
    for (const auto& instance : this->node_list)
    {
        http_call call;
        call.target = "/state";
        instance->operators->call(
            std::move(call),
            [&, name = instance->name](const http_reply& reply)
            {
                ++answered;
                const json state = json::parse(reply.body, nullptr, false);
                if (state.is_object() && state.contains("pools") &&
                    !state["pools"].empty())
                {
                    result.push_back(name);
                }
            });
    }
    (void)this->loop.run_until(
        [&] { return answered == this->node_list.size(); }, milliseconds(3000));
    return result;
}

void deployment::call(node& instance, const std::string& method,
                      const std::string& target, const std::string& body,
                      milliseconds deadline, http_client::callback done)
{
    http_call request;
    request.method = method;
    request.target = target;
    request.host = host;
    request.headers = {
        {"X-Jujubedrum-Deadline-Ms", std::to_string(deadline.count())}};
    request.body = body;
    request.timeout = deadline;
    instance.callers->call(std::move(request), std::move(done));
}

std::string chain_job(const std::string& spec, std::size_t steps, long run_ms,
                      std::uint32_t cpu)
{
    json list = json::array();
    for (std::size_t i = 0; i < steps; ++i)
    {
        json step{{"count", 1},
                  {"cpu", cpu},
                  {"memMb", 64},
                  {"estRuntimeMs", run_ms}};
        if (i > 0)
        {
            step["after"] = json::array({i - 1});
        }
        list.push_back(step);
    }
    return json{{"taskSpec", spec}, {"bestEffort", true}, {"steps", list}}
        .dump();
}

} // namespace jujubedrum::review
