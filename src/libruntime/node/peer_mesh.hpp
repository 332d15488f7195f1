#pragma once

#include "node/event_loop.hpp"
#include "node/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// Where an instance can be reached, as it announced itself.
struct member_record
{
    std::string name;
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    std::uint64_t boot = 0;
    std::string domain;    ///< empty in announcements of earlier versions
    std::uint32_t cpu = 0; ///< thousandths of a core

    bool operator==(const member_record&) const = default;
};

/// Receives what the mesh learns.
class mesh_listener
{
public:
    virtual ~mesh_listener() = default;
    /// A peer introduced itself or told news about itself.
    virtual void on_heartbeat(std::uint64_t link,
                              const heartbeat_message& heartbeat) = 0;
    virtual void on_message(std::uint64_t link,
                            const dispatch_message& message) = 0;
    /// Nothing more will come over the link.
    virtual void on_link_closed(std::uint64_t link, const std::string& name,
                                const std::string& reason) = 0;
    /// An instance whose link broke turned out to be gone.
    virtual void on_peer_failed(const std::string& name) = 0;
};

/// Links to all other instances: one TCP connection for a pair. A peer that
/// says nothing for longer than its own hellos promise counts as lost.
class peer_mesh
{
public:
    /// How long an instance whose link was reset may take to be back before it
    /// counts as gone. One that ended refuses the connection at once.
    static constexpr milliseconds reconnect_grace_period{80};
    /// A link that carried jobs within this time is likely to carry more.
    static constexpr seconds recent_traffic_window{2};
    /// Announcements older than this name instances that are gone.
    static constexpr seconds member_lifetime{18};

    peer_mesh(event_loop& loop, member_record self, mesh_listener& listener);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    bool listen(const std::string& address, std::uint16_t port);
    /// Sets the hello that new and present links get.
    void set_heartbeat(const heartbeat_message& heartbeat);
    /// Sends the hello to all now.
    void send_heartbeat();
    /// Learns of announced instances and connects to them.
    void on_members(const std::vector<member_record>& members);
    /// Sends a message; false if the link is gone.
    bool send(std::uint64_t link, const dispatch_message& message);
    /// Sends a message to all peers.
    void broadcast(const dispatch_message& message);
    /// Returns the peers that are alive, or whose link was reset just now.
    [[nodiscard]] std::vector<instance_view> live_instances() const;
    /// Returns whether the link was heard of lately enough for further jobs.
    [[nodiscard]] bool is_responsive(std::uint64_t link) const;
    /// Returns how long ago the link was heard of; 0 for an unknown one.
    [[nodiscard]] milliseconds last_message_age(std::uint64_t link) const;
    /// Returns the number of announced instances.
    [[nodiscard]] std::size_t member_count() const
    {
        return this->members.size();
    }
    /// Returns the announced instances.
    [[nodiscard]] std::vector<announced_instance> announced_instances() const;
    /// Returns whether an announcement of an earlier life was read.
    [[nodiscard]] bool has_run_before() const { return this->ran_before; }
    void stop();

private:
    class link;
    struct known_member
    {
        member_record record;
        instant last_seen{0};
        instant next_dial{0};
    };
    struct peer_state
    {
        heartbeat_message heartbeat;
        instant last_received{0};
        instant next_heartbeat{0}; ///< of this instance to the peer
        milliseconds announced_interval{
            0};              ///< time between two of them, as announced
        instant last_job{0}; ///< when a message about a job passed
    };

    struct reconnecting_peer
    {
        instance_view instance;
        instant until{0};
    };

    void accept();
    void await_reconnect(const instance_view& instance);
    void drop_reconnecting(const std::string& name);
    void dial(known_member& member);
    void on_frame(std::uint64_t number, const dispatch_message& message);
    void on_closed(std::uint64_t number, const std::string& reason);
    void on_tick();
    void close_timed_out_links();
    void dial_missing_members();
    /// Says hello where it is due.
    void send_due_heartbeats();
    void send_heartbeat(std::uint64_t number, peer_state& peer);
    [[nodiscard]] milliseconds
    heartbeat_interval_to(const peer_state& peer) const;
    /// Returns the hello that promises the next one after the time.
    const std::string& heartbeat_frame(milliseconds interval);
    [[nodiscard]] bool linked(const std::string& name) const;

    loop_scope loop;
    member_record self;
    mesh_listener& listener;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::uint64_t, std::shared_ptr<link>> links;
    std::map<std::uint64_t, peer_state> peers; ///< links that said hello
    std::multiset<std::string> linked_names;   ///< of these; may be twice
    std::map<std::string, known_member> members;
    std::map<std::string, reconnecting_peer> reconnecting; ///< by name
    heartbeat_message own_heartbeat;
    std::map<milliseconds, std::string>
        heartbeat_frames; ///< by promised interval
    bool ran_before = false;
    std::uint64_t next_link = 1;
    instant started;
};

} // namespace jujubedrum
