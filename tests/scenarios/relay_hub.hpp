#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

namespace jujubedrum
{

/// TCP relays between processes, served by one thread. A relay can stall, like
/// a network link that loses all packets, or refuse connections.
class relay_hub
{
public:
    enum class mode
    {
        open,
        stalled,
        refused
    };

    relay_hub();
    relay_hub(const relay_hub&) = delete;
    relay_hub& operator=(const relay_hub&) = delete;
    ~relay_hub();

    /// Adds an open relay to a local port and returns the port it listens on.
    /// Throws scenario_error if no port of the relay range is free.
    /// \param source_address IP address that the target sees as the client's.
    int add(int target_port, const std::string& source_address);
    /// Sets the mode of the relay on this port and waits until it applies.
    /// Bytes pending in a stalled relay are delivered once it opens; a change
    /// to `refused` resets the relay's connections.
    void set_mode(int port, mode value);

private:
    struct relay
    {
        int listener = -1;
        int target_port = 0;
        std::string source_address;
        mode applied_mode = mode::open;
        mode requested_mode = mode::open;
    };
    struct direction
    {
        int from = -1;
        int to = -1;
        std::string pending;
        bool source_closed = false;
        bool target_shut_down = false;
    };
    struct connection
    {
        int port = 0;
        direction forward;
        direction backward;
        bool failed = false;
    };

    void run();
    std::vector<pollfd> poll_entries();
    void apply_modes();
    void apply_mode(relay& relay, int port);
    void accept_connection(relay& relay, int port);
    static void transfer(connection& connection, direction& direction,
                         short events_from, short events_to);
    static void close_connection(connection& connection, bool reset);
    void wake() const;

    std::mutex mutex;
    std::condition_variable mode_applied;
    std::map<int, relay> relays;
    std::list<connection> connections;
    int wake_read = -1;
    int wake_write = -1;
    bool stopping = false;
    std::thread thread;
};

} // namespace jujubedrum
