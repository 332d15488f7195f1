#pragma once

#include "fault_relay.hpp"
#include "node_process.hpp"
#include "soak_profile.hpp"
#include "users/log_store_standin.hpp"
#include "users/task_server_standin.hpp"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Program, files and size of the cluster of one soak run.
struct cluster_options
{
    std::string program;
    std::filesystem::path folder;
    /// Loopback address of the instances. Their ports are found by probing for
    /// free ones, so soak tests that run at the same time need different
    /// addresses.
    std::string address = "127.0.0.1";
    std::size_t nodes = 6;
    std::size_t servers = 12;
    /// Further servers without an entry at first, in the overlap profile.
    std::size_t spare_servers = 4;
    std::size_t domains = 2;
    soak_profile profile = soak_profile::standard;
};

/// Runs instances as child processes. The log store and the backend servers are
/// stand-ins in this process. Connections of instances to each other, to the
/// store and to backend servers pass through fault relays.
class soak_cluster
{
public:
    struct node
    {
        std::unique_ptr<node_process> process;
        std::unique_ptr<fault_relay> peer_relay;
        std::unique_ptr<fault_relay> store_relay;
        /// Paths to the backend servers, by index of the server; empty in the
        /// standard profile, where instances share the relays of servers.
        std::vector<std::unique_ptr<fault_relay>> server_paths;
        std::uint16_t callers_port = 0;
        std::uint16_t operators_port = 0;
        /// Restarted on exit; false while a restart is pending.
        bool monitored = true;
    };
    struct server
    {
        std::unique_ptr<task_server_standin> standin;
        std::unique_ptr<fault_relay> relay;
        std::string domain;
        bool listed = true; ///< entry in the store is refreshed
    };

    /// \throws std::runtime_error if a stand-in cannot listen or an instance
    ///     cannot be spawned.
    soak_cluster(event_loop& loop, const cluster_options& options);

    log_store_standin& store() { return this->store_standin; }
    run_recorder& recorder() { return this->runs; }
    std::vector<node>& nodes() { return this->node_list; }
    std::vector<server>& servers() { return this->server_list; }
    /// Publishes the configuration under this version.
    void publish_configuration(std::uint64_t version);
    /// Writes the entry of the backend server to the store.
    void write_entry(const server& backend);
    /// Ends all faults of relays, backend servers and the store, and resumes
    /// suspended processes.
    void heal();

private:
    void add_node(const cluster_options& options, std::size_t index);
    /// Adds a relay from the instance to each backend server. Returns the port
    /// of the store where the entries name these relays.
    std::uint16_t add_server_paths(node& instance);
    void refresh_entries();
    void watch_processes();

    loop_scope loop;
    soak_profile profile;
    log_store_standin store_standin;
    run_recorder runs;
    std::vector<server> server_list;
    std::vector<node> node_list;
};

} // namespace jujubedrum
