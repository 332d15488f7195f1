#pragma once

#include "held_relay.hpp"
#include "node/event_loop.hpp"
#include "node/http_client.hpp"
#include "node_process.hpp"
#include "users/log_store_standin.hpp"
#include "users/task_server_standin.hpp"

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A small deployment on loopback: the project's daemon as separate processes,
/// with settings as the template of the deploy file gives them, the project's
/// stand-ins for the log store and the backend servers, and callers. Writes
/// what was sent, answered and run to a record.
class deployment
{
public:
    struct node
    {
        std::string name;
        std::string domain;
        std::uint16_t callers_port = 0;
        std::uint16_t operators_port = 0;
        std::unique_ptr<held_relay> peer_relay; ///< to its peers' address
        std::unique_ptr<node_process> process;
        std::shared_ptr<http_client> client;
        bool ready = false;
    };

    struct caller_attempt
    {
        std::string job;
        int status = 0; ///< 0: not answered yet, or no answer
        bool ended = false;
        std::string state; ///< in a reply with status 200
    };

    deployment(event_loop& loop, std::string program,
               std::filesystem::path folder, const std::string& record);

    /// Adds a backend server with room for two tasks, listed from now on.
    task_server_standin& add_server(const std::string& id,
                                    const std::string& domain);
    /// Starts an instance. Its peers reach it through a relay.
    node& add_node(const std::string& name, const std::string& domain);
    /// Waits until all instances are ready. Returns false after a time.
    bool await_ready(milliseconds limit);

    /// Sends a job of tasks of 6.8 cores to an instance, as a caller does.
    /// \param argument appended to the job's `taskSpec`.
    std::shared_ptr<caller_attempt>
    submit(node& to, const std::string& job, std::uint32_t tasks,
           milliseconds declared, milliseconds real, milliseconds limit,
           const std::string& argument = "");
    /// Sends a job of steps, each after the previous one and with one task.
    std::shared_ptr<caller_attempt>
    submit_steps(node& to, const std::string& job, std::uint32_t steps,
                 milliseconds run_time, milliseconds limit);
    /// Cancels a job.
    std::shared_ptr<caller_attempt> cancel(node& to, const std::string& job,
                                           milliseconds limit);
    /// Lists a server as draining from now on.
    void drain_server(const std::string& id);
    /// Removes the entry of a server, which has left.
    void remove_server(const std::string& id);
    void note(const std::string& text);
    [[nodiscard]] const run_recorder& runs() const { return this->recorder; }
    [[nodiscard]] event_loop& events() { return this->loop; }
    [[nodiscard]] log_store_standin& store() { return this->log_store; }
    [[nodiscard]] task_server_standin& server(const std::string& id)
    {
        return *this->servers.at(id).standin;
    }

private:
    struct backend
    {
        std::string domain;
        std::unique_ptr<task_server_standin> standin;
        bool listed = true;
    };

    std::shared_ptr<caller_attempt> call(node& to, const std::string& job,
                                         http_call request);
    void refresh_entries();
    void probe_readiness();

    event_loop& loop;
    std::string program;
    std::filesystem::path folder;
    std::ofstream record;
    run_recorder recorder;
    log_store_standin log_store;
    std::map<std::string, backend> servers;
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace jujubedrum
