#include "soak_cluster.hpp"

#include "users/free_port.hpp"

#include <csignal>
#include <fstream>
#include <map>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr milliseconds entry_refresh_interval{1000};
constexpr milliseconds process_check_interval{50};
/// Time between the exit of a process and its restart, as on the platform.
constexpr milliseconds restart_delay{300};
constexpr std::uint32_t server_cpu_milli = 16000;

std::string loopback_endpoint(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

soak_cluster::soak_cluster(event_loop& events, const cluster_options& options)
    : loop(events)
    , profile(options.profile)
    , store_standin(events)
{
    if (!this->store_standin.listen())
    {
        throw std::runtime_error(
            "log store stand-in failed to listen on a loopback port; soak run "
            "aborted");
    }
    this->publish_configuration(1);
    const std::size_t spare_servers =
        options.profile == soak_profile::standard ? 0 : options.spare_servers;
    for (std::size_t i = 0; i < options.servers + spare_servers; ++i)
    {
        server added;
        added.listed = i < options.servers;
        added.domain = "d" + std::to_string(i % options.domains);
        added.standin = std::make_unique<task_server_standin>(
            events, "s" + std::to_string(i), server_cpu_milli, this->runs);
        if (!added.standin->listen())
        {
            throw std::runtime_error("backend server stand-in failed to listen "
                                     "on a loopback port; soak run aborted");
        }
        added.relay = std::make_unique<fault_relay>(events, "127.0.0.1",
                                                    added.standin->port());
        this->server_list.push_back(std::move(added));
    }
    this->refresh_entries();
    for (std::size_t i = 0; i < options.nodes; ++i)
    {
        this->add_node(options, i);
    }
    this->watch_processes();
}

void soak_cluster::add_node(const cluster_options& options, std::size_t index)
{
    const std::string name = "n" + std::to_string(index);
    const std::uint16_t peers_port =
        free_port(this->loop.events(), options.address);
    node added;
    added.callers_port = free_port(this->loop.events(), options.address);
    added.operators_port = free_port(this->loop.events(), options.address);
    added.peer_relay = std::make_unique<fault_relay>(
        this->loop.events(), options.address, peers_port);
    const std::uint16_t store_port = options.profile == soak_profile::standard
                                         ? this->store_standin.port()
                                         : this->add_server_paths(added);
    added.store_relay = std::make_unique<fault_relay>(this->loop.events(),
                                                      "127.0.0.1", store_port);
    const std::filesystem::path settings = options.folder / (name + ".json");
    std::ofstream(settings) << nlohmann::json{
        {"instance", name},
        {"domain", "d" + std::to_string(index % options.domains)},
        {"callers", options.address + ":" + std::to_string(added.callers_port)},
        {"operators",
         options.address + ":" + std::to_string(added.operators_port)},
        {"peers", options.address + ":" + std::to_string(peers_port)},
        {"announced_peers", loopback_endpoint(added.peer_relay->port())},
        {"store",
         loopback_endpoint(
             added.store_relay
                 ->port())}}.dump();
    added.process = std::make_unique<node_process>(
        options.program, settings.string(),
        (options.folder / (name + ".log")).string());
    added.process->start();
    this->node_list.push_back(std::move(added));
}

std::uint16_t soak_cluster::add_server_paths(node& instance)
{
    std::map<std::string, std::uint16_t> ports;
    for (const server& each : this->server_list)
    {
        auto path = std::make_unique<fault_relay>(
            this->loop.events(), "127.0.0.1", each.relay->port());
        path->forward_at_once();
        ports.emplace(each.standin->id(), path->port());
        instance.server_paths.push_back(std::move(path));
    }
    const std::uint16_t port = this->store_standin.listen_filtered(
        [ports](const std::string& id, const std::string& entry)
        {
            auto changed = nlohmann::json::parse(entry);
            changed["address"] = loopback_endpoint(ports.at(id));
            return changed.dump();
        });
    if (port == 0)
    {
        throw std::runtime_error(
            "log store stand-in failed to listen on a further loopback port; "
            "soak run aborted");
    }
    return port;
}

void soak_cluster::publish_configuration(std::uint64_t version)
{
    this->store_standin.publish(nlohmann::json{
        {"version", version},
        {"routes",
         {{{"name", "r1"},
           {"host", "h"},
           {"pathPrefix", "/q/"},
           {"backend", "service"},
           {"timeoutMs", this->profile == soak_profile::standard ? 4000 : 9000},
           {"targetLatencyMs", 300},
           {"priority", 0},
           {"maxAttempts", 3},
           {"stretch", 3.0}}}},
        {"services",
         nlohmann::json::array()}}.dump());
}

void soak_cluster::write_entry(const server& backend)
{
    this->store_standin.write_server(
        backend.standin->id(),
        backend.standin->entry(backend.domain, backend.relay->port()));
}

void soak_cluster::refresh_entries()
{
    for (const server& each : this->server_list)
    {
        if (each.listed)
        {
            this->write_entry(each);
        }
    }
    this->loop.after(entry_refresh_interval,
                     [this] { this->refresh_entries(); });
}

void soak_cluster::watch_processes()
{
    for (node& each : this->node_list)
    {
        if (each.monitored && !each.process->running())
        {
            each.monitored = false;
            this->loop.after(restart_delay,
                             [&each]
                             {
                                 each.process->start();
                                 each.monitored = true;
                             });
        }
    }
    this->loop.after(process_check_interval,
                     [this] { this->watch_processes(); });
}

void soak_cluster::heal()
{
    this->store_standin.set_fault(log_store_standin::fault::none);
    for (server& each : this->server_list)
    {
        each.relay->heal();
        each.standin->set_failing(false);
        each.standin->set_hanging(false);
        each.standin->set_draining(false);
        each.standin->set_slowdown(1.0);
        each.standin->delay_starts(0, milliseconds(0));
        each.standin->drop_start_replies(0);
        each.listed = true;
        this->write_entry(each);
    }
    for (node& each : this->node_list)
    {
        each.peer_relay->heal();
        each.store_relay->heal();
        for (const auto& path : each.server_paths)
        {
            path->heal();
        }
        each.process->signal(SIGCONT);
    }
}

} // namespace jujubedrum
