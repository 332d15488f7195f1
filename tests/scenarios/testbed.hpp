#pragma once

#include "child_process.hpp"
#include "http_call.hpp"
#include "relay_hub.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// The key=value words of a step, by key.
using step_options = std::map<std::string, std::string>;

/// The processes of one scenario and the links between them.
class testbed
{
public:
    /// \param bin folder of the programs.
    /// \param work folder for logs, settings and keys of this scenario; its
    /// contents are deleted.
    /// \param relays whether links between processes can be cut.
    testbed(std::filesystem::path bin, std::filesystem::path work, bool relays);

    /// Starts the platform stand-in. The options are its long options.
    void start_platform(const step_options& options);
    /// Starts a backend server stand-in and adds it to the platform's list as
    /// live.
    void start_backend(const std::string& name, const step_options& options);
    /// Adds an entry instance to the platform's list as live, starts it and
    /// waits until it is ready.
    void start_entry(const std::string& name, const step_options& options);
    /// Restarts a stopped or killed process on the same port.
    void restart(const std::string& name);
    /// Sends SIGTERM and waits for the exit. Throws scenario_error unless the
    /// status is 0.
    void stop(const std::string& name);
    /// Sends SIGKILL and waits for the exit.
    void kill(const std::string& name);
    void signal(const std::string& name, int signal_number);

    /// Sets the state of an instance in the platform's list.
    void set_listed_state(const std::string& name, const std::string& state);
    /// Sets the mode of all links between a process that matches `left` and
    /// one that matches `right`: comma-separated lists of instance, domain or
    /// region names, or "platform". Throws scenario_error if there is no link.
    void set_links(const std::string& left, const std::string& right,
                   relay_hub::mode mode);
    /// Opens all links to running processes; the others refuse connections.
    void heal();
    /// Publishes a configuration section with jujubedrumctl. Returns its exit
    /// status, or -1 if it did not exit in time. The placeholders
    /// ${public_key:NAME} and ${token_sha256:TEXT} in the file are replaced.
    int publish(const std::string& section, const std::filesystem::path& file,
                const std::string& editor, const std::string& key);

    /// Returns the HTTP port of a process.
    int port(const std::string& name) const;
    /// Returns the names of the running backend servers.
    std::vector<std::string> backends() const;
    /// Sends a GET request to a process and returns the JSON reply. Throws
    /// scenario_error unless the status is 200.
    nlohmann::json get(const std::string& name, const std::string& path) const;
    /// As `get`, for any method; a null body is sent as an empty one.
    nlohmann::json send(const std::string& name, const std::string& method,
                        const std::string& path,
                        const nlohmann::json& body) const;
    /// Returns the last bytes of each process's log, for a failure message.
    std::string log_tails() const;

private:
    struct node
    {
        std::string role;
        std::string domain;
        std::string region;
        int port = 0;
        int rpc_port = 0;
        /// IP address of an entry instance's connections through relays, by
        /// which the platform stand-in identifies it.
        std::string source_address;
        std::vector<std::string> command;
        /// The process's entry in the platform's list.
        nlohmann::json registration;
        std::unique_ptr<child_process> process;
    };

    node& find(const std::string& name);
    const node& find(const std::string& name) const;
    void launch(const std::string& name, node& node);
    std::filesystem::path write_settings(const std::string& name,
                                         const node& node,
                                         const step_options& options);
    /// Adds a relay between two processes if links can be cut.
    void add_link(const std::string& from, const std::string& to);
    /// Tells the platform which relay ports to show to each entry instance.
    void update_views();
    void set_links_to(const std::string& name, relay_hub::mode mode);
    /// Returns whether the name, domain or region of a process is in a
    /// comma-separated list.
    bool matches_any(const std::string& name, const std::string& pattern) const;
    /// Returns the public key of this name. A key pair is generated, and its
    /// private key written to a file, on first use.
    std::string public_key(const std::string& name);
    std::filesystem::path key_file(const std::string& name);
    std::string expand_placeholders(std::string text);
    int free_port();

    const std::filesystem::path bin;
    const std::filesystem::path work;
    std::unique_ptr<relay_hub> relays;
    std::map<std::string, node> nodes;
    /// Port of the relay from one process to another.
    std::map<std::pair<std::string, std::string>, int> links;
    std::map<std::string, std::string> public_keys;
    int next_port = 0;
};

} // namespace jujubedrum
