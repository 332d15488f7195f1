#pragma once

#include "fault_relay.hpp"
#include "node/event_loop.hpp"
#include "node/http_client.hpp"
#include "node_runner.hpp"
#include "users/log_store_standin.hpp"
#include "worker.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A small deployment on loopback: the store, backend servers, and processes of
/// `jujubedrum-node` with the settings of the deploy file. A relay stands
/// between each two processes: each process reads the store through a proxy,
/// which names the relays' ports in the announcements of the others.
class deployment
{
public:
    struct instance
    {
        std::string name;
        std::string zone;
        std::uint16_t callers = 0;
        std::uint16_t operators = 0;
        std::uint16_t peers = 0;
        /// Paths to the other instances, by their names.
        std::map<std::string, std::unique_ptr<fault_relay>> paths;
        std::unique_ptr<http_server> proxy;
        std::unique_ptr<fault_relay> store; ///< path to the proxy
        std::unique_ptr<node_runner> process;
        bool restarted = true; ///< after it has ended
        instant started{0};    ///< its present process
    };
    struct backend
    {
        std::unique_ptr<worker> standin;
        std::unique_ptr<fault_relay> path;
        bool listed = true;
    };

    /// \param folder for settings and logs of the processes.
    /// \param record gets a line for each event.
    deployment(event_loop& events, std::string program,
               std::filesystem::path folder, std::ostream& record,
               worker::observer on_event);

    void publish(const std::string& configuration);
    backend& add_worker(worker::traits description);
    instance& add_instance(const std::string& name, const std::string& zone);
    /// Starts the processes of all instances.
    void start();
    /// Cuts an instance off from all others, or ends that.
    void cut_off(const std::string& name);
    void heal(const std::string& name);
    /// Waits until all instances are ready.
    bool await_ready(milliseconds limit);
    /// Writes a line with the time since the beginning.
    void note(const std::string& text);
    [[nodiscard]] milliseconds time() const;
    /// Returns a client of an instance's address for callers.
    [[nodiscard]] std::shared_ptr<http_client>
    caller(const instance& target) const;

    std::vector<std::unique_ptr<instance>> instances;
    std::vector<std::unique_ptr<backend>> workers;
    log_store_standin store;

private:
    /// Passes a request of an instance to the store.
    void pass(instance& reader, const http_request& request,
              const std::shared_ptr<http_responder>& responder);
    /// Returns a page of announcements with the ports of the reader's paths.
    [[nodiscard]] std::string with_paths(const instance& reader,
                                         const std::string& page) const;
    [[nodiscard]] std::vector<fault_relay*> paths_of(const std::string& name);
    void write_entries();
    void restart_ended();

    event_loop& loop;
    std::shared_ptr<http_client> store_client;
    std::string node_program;
    std::filesystem::path path;
    std::ostream& out;
    worker::observer observe;
    instant began;
    std::string node_address;
};

} // namespace jujubedrum
