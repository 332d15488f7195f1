#pragma once

#include "node/dispatch_node.hpp"
#include "server_adapter.hpp"
#include "soak/fault_relay.hpp"
#include "store_adapter.hpp"
#include "users/log_store_standin.hpp"
#include "users/task_server_standin.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// An instance with its adapters.
class node_under_test
{
public:
    node_under_test(event_loop& loop, const node_settings& settings,
                    std::uint64_t boot);

    dispatch_node& node() { return this->instance; }

private:
    metrics_registry metrics;
    store_adapter store;
    server_adapter channels;
    dispatch_node instance;
};

/// Instances, backend servers and the store on one event loop, over loopback.
struct node_fixture
{
    node_fixture();

    /// Starts an instance. One of the same name is stopped first, so that this
    /// restarts it.
    void start_node(const std::string& name, const std::string& domain = "d1");
    /// Relays the links that other instances open to this one. Call it before
    /// the instance is started.
    fault_relay& relay_links_to(const std::string& name);
    /// Starts an instance that uses the second address of the store.
    void start_node_on_second_store(const std::string& name,
                                    const std::string& domain = "d1");
    void add_server(const std::string& id, const std::string& domain = "d1");
    void write_entry(const std::string& id);
    /// Removes the entry of a server, which goes on running.
    std::unique_ptr<task_server_standin> unlist_server(const std::string& id);
    /// Waits until the instance holds at least this many reachable servers.
    bool wait_for_servers(const std::string& name, std::size_t count);
    /// Returns whether the instance holds all pools of a failure domain.
    [[nodiscard]] bool holds_all_pools(const std::string& name);
    /// Submits a job whose tasks run for `run_ms`; its result is recorded.
    /// Returns the job's ticket.
    std::uint64_t submit(const std::string& node, const std::string& job,
                         std::uint32_t tasks, int run_ms,
                         milliseconds time_left = milliseconds(8000));
    /// Returns the message that submits such a job over a link.
    submit_message submission_of(const std::string& job, int run_ms,
                                 std::uint32_t tasks = 1,
                                 milliseconds time_left = milliseconds(8000));
    bool wait_for(const std::string& job);
    bool wait(const std::function<bool()>& condition);
    /// Runs the event loop for this time.
    void run_for(milliseconds time);
    [[nodiscard]] std::size_t servers_of(const std::string& name);
    /// Returns the announcement of an instance for peers that do not read the
    /// store.
    [[nodiscard]] member_record member_of(const std::string& name);
    /// Returns the number of servers that the instance has sessions with.
    [[nodiscard]] std::size_t sessions_of(const std::string& name);
    /// Returns the highest token of the pools that the instance holds.
    [[nodiscard]] std::uint64_t token_of(const std::string& name);
    /// Returns the capacity that the instance uses for new tasks, in
    /// thousandths of a core. Once jobs were submitted, the remainder of each
    /// server that is smaller than a task is not counted.
    [[nodiscard]] std::uint64_t usable_cpu_of(const std::string& name);
    /// Returns the demand of the tasks that wait at the instance.
    [[nodiscard]] std::uint64_t waiting_cpu_of(const std::string& name);

    event_loop loop;
    log_store_standin store{loop};
    run_recorder record;
    std::map<std::string, std::unique_ptr<task_server_standin>> servers;
    std::map<std::string, std::string> domains;
    /// Declared before the instances, which answer open jobs when they stop.
    std::map<std::string, job_result> results;
    std::map<std::string, std::unique_ptr<fault_relay>> relays;
    std::map<std::string, std::unique_ptr<node_under_test>> nodes;

private:
    void start_node(const std::string& name, const std::string& domain,
                    std::uint16_t store_port);
    void refresh_entries();

    std::map<std::string, std::uint16_t> peer_ports;
    std::uint64_t next_boot = 1;
};

} // namespace jujubedrum
