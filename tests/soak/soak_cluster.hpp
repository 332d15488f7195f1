#pragma once

#include "fault_relay.hpp"
#include "node_process.hpp"
#include "users/log_store_standin.hpp"
#include "users/task_server_standin.hpp"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Where one soaked run keeps its files and finds the program.
struct cluster_options
{
    std::string program;
    std::filesystem::path folder;
    /// Loopback address of the instances. Their ports are found by trying, so
    /// each soak that runs at the same time needs an address of its own.
    std::string address = "127.0.0.1";
    std::size_t nodes = 6;
    std::size_t servers = 12;
    std::size_t domains = 2;
};

/// Real processes of the daemon between relays, with the store and the
/// backend servers as stand-ins in this process.
class soak_cluster
{
public:
    struct node
    {
        std::unique_ptr<node_process> process;
        std::unique_ptr<fault_relay> peer_relay;
        std::unique_ptr<fault_relay> store_relay;
        std::uint16_t callers_port = 0;
        std::uint16_t operators_port = 0;
        bool monitored = true; ///< restarted when it ends
    };
    struct server
    {
        std::unique_ptr<task_server_standin> standin;
        std::unique_ptr<fault_relay> relay;
        std::string domain;
        bool listed = true;
    };

    soak_cluster(event_loop& loop, const cluster_options& options);

    log_store_standin& store() { return this->store_standin; }
    run_record& recorder() { return this->runs; }
    std::vector<node>& nodes() { return this->node_list; }
    std::vector<server>& servers() { return this->server_list; }
    void write_entry(const server& backend);
    /// Ends every fault: links, servers, the store and paused processes.
    void heal();

private:
    void add_node(const cluster_options& options, std::size_t index);
    void refresh_entries();
    void watch_processes();

    loop_scope loop;
    log_store_standin store_standin;
    run_record runs;
    std::vector<server> server_list;
    std::vector<node> node_list;
};

} // namespace jujubedrum
