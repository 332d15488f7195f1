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

/// TCP relays between processes, served by one thread. A relay can be stalled
/// like a link that loses all packets, or refuse connections.
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

    /// Adds a relay to a local port and returns the port it listens on.
    /// \param source IP address that the target sees as the client's.
    int add(int target_port, const std::string& source);
    /// Changes what the relay on this port does. Bytes that wait in a stalled
    /// relay arrive late once it opens; refusing resets its connections.
    void set_mode(int port, mode value);

private:
    struct link
    {
        int listener = -1;
        int target_port = 0;
        std::string source;
        mode state = mode::open;
        mode wanted = mode::open;
    };
    struct half
    {
        int from = -1;
        int to = -1;
        std::string pending;
        bool ended = false;
        bool shut = false;
    };
    struct pair
    {
        int port = 0;
        half forward;
        half backward;
        bool broken = false;
    };

    void run();
    std::vector<pollfd> interests();
    void apply_modes();
    void apply(link& link, int port);
    void accept_on(link& link, int port);
    static void transfer(pair& pair, half& half, short events_from,
                         short events_to);
    static void close_pair(pair& pair, bool reset);
    void wake() const;

    std::mutex mutex;
    std::condition_variable applied;
    std::map<int, link> links;
    std::list<pair> pairs;
    int wake_read = -1;
    int wake_write = -1;
    bool stopping = false;
    std::thread thread;
};

} // namespace jujubedrum
