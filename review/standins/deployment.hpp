#pragma once

#include "fault_relay.hpp"
#include "node/http_client.hpp"
#include "users/log_store_standin.hpp"
#include "worker_standin.hpp"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jujubedrum::review
{

/// Size of a deployment and its programs.
struct deployment_options
{
    std::filesystem::path root;   ///< of the repository
    std::filesystem::path folder; ///< temporary, for settings and logs
    std::vector<std::string> zones{"z1", "z2", "z3"};
    std::size_t nodes_per_zone = 2;
    std::size_t workers_per_zone = 8;
    std::vector<worker_kind> kinds{{"a", 16000}, {"a", 16000}, {"b", 24000}};
    bool guards = true;
    long timeout_ms = 1500; ///< of the route
    /// Puts a relay before the port for other instances of each instance, and
    /// one between it and the store, so that it can be cut off.
    bool relays = false;
};

/// One instance, a process of its own.
struct node
{
    std::string name;
    std::string zone;
    std::filesystem::path settings;
    std::filesystem::path log;
    std::uint16_t callers_port = 0;
    std::uint16_t operators_port = 0;
    pid_t pid = -1;
    std::shared_ptr<http_client> callers;
    std::shared_ptr<http_client> operators;
    std::unique_ptr<fault_relay> peer_relay;
    std::unique_ptr<fault_relay> store_relay;
};

/// Starts instances with the command of the deploy file, and the store and the
/// workers as stand-ins in this process. Ends the instances at its end.
class deployment
{
public:
    /// \throws std::runtime_error if something cannot start.
    deployment(event_loop& loop, const deployment_options& options,
               run_observer& observer);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    std::vector<std::unique_ptr<node>>& nodes() { return this->node_list; }
    std::vector<std::unique_ptr<worker_standin>>& workers()
    {
        return this->worker_list;
    }
    log_store_standin& store() { return this->store_standin; }
    /// Runs the event loop for this time.
    void run_for(milliseconds time);
    /// Waits until every instance is ready. Returns false if one is not.
    bool await_ready(milliseconds limit);
    void spawn(node& instance);
    void signal(const node& instance, int number) const;
    /// Kills the process of an instance.
    void kill(node& instance);
    /// Cuts an instance off, silently: from the store, and from instances that
    /// connect to it.
    static void cut(node& instance);
    static void heal(node& instance);
    void write_entry(worker_standin& worker);
    /// Returns the fence number of each pool that an instance holds, by
    /// `/state`.
    std::map<std::string, std::uint64_t> held_fences(node& instance);
    /// Returns the names of the instances that hold pools, by `/state`.
    std::vector<std::string> holders();
    /// Sends a request to an instance.
    void call(node& instance, const std::string& method,
              const std::string& target, const std::string& body,
              milliseconds deadline, http_client::callback done);

    static constexpr const char* host = "case.example";
    static constexpr const char* prefix = "/case/";

private:
    void add_node(std::size_t zone, std::size_t index);
    void refresh_entries();

    event_loop& loop;
    deployment_options options;
    log_store_standin store_standin;
    std::vector<std::unique_ptr<worker_standin>> worker_list;
    std::vector<std::unique_ptr<node>> node_list;
};

/// Returns a job of a chain of steps, one task each.
std::string chain_job(const std::string& spec, std::size_t steps, long run_ms,
                      std::uint32_t cpu);

} // namespace jujubedrum::review
