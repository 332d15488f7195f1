#pragma once

#include "log_limiter.hpp"
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

/// Announcement of an instance in the store: its address and properties.
struct member_record
{
    std::string name;
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    std::uint64_t boot = 0;
    std::string domain;          ///< empty in announcements of earlier versions
    std::uint32_t cpu = 0;       ///< thousandths of a core
    std::uint32_t link_kbps = 0; ///< rate of its network link; 0: not limited

    bool operator==(const member_record&) const = default;
};

/// Receives messages and connection events from the mesh.
class mesh_listener
{
public:
    virtual ~mesh_listener() = default;
    /// A peer sent its first or a further heartbeat.
    virtual void on_heartbeat(std::uint64_t link,
                              const heartbeat_message& heartbeat) = 0;
    virtual void on_message(std::uint64_t link,
                            const dispatch_message& message) = 0;
    /// The link is closed. No further calls refer to it.
    virtual void on_link_closed(std::uint64_t link, const std::string& name,
                                const std::string& reason) = 0;
    /// An instance did not reconnect in time after its link was reset.
    virtual void on_peer_failed(const std::string& name) = 0;
    /// Returns the links over which jobs were sent, in either direction, that
    /// have not ended.
    [[nodiscard]] virtual std::set<std::uint64_t>
    links_with_open_jobs() const = 0;
    /// Returns those of them over which this instance sent the jobs.
    [[nodiscard]] virtual std::set<std::uint64_t> links_to_holders() const = 0;
};

/// Links to all other instances, usually one TCP connection per pair. A link is
/// closed when nothing arrives on it for `heartbeat_timing::dead_timeout` of
/// the heartbeat interval that the peer announced.
///
/// A `link_state_message` follows the first heartbeat of the peer, and goes
/// over the other links to a peer when one of them closes. A link that the peer
/// has closed is closed here as well, whatever is still unread on it.
///
/// A `confirm_message` precedes each job sent to a holder, and follows each
/// heartbeat to it until the job has ended.
class peer_mesh
{
public:
    /// An instance whose link was reset counts as alive for this time, in which
    /// it may reconnect. If its process has ended, the connection is refused at
    /// once and the wait is over.
    static constexpr milliseconds reconnect_grace_period{80};
    /// A link that carried messages about jobs within this time is likely to
    /// carry more and gets heartbeats more often.
    static constexpr seconds recent_traffic_window{2};
    /// The estimate of a peer's clock follows the heartbeat that was under way
    /// for the shortest time within this time. In it, clocks drift by a few
    /// milliseconds at most.
    static constexpr seconds clock_offset_lifetime{10};
    /// Announcements that were not renewed for this time have expired.
    static constexpr seconds member_lifetime{18};
    /// Maximum size of the first frame of a link. A heartbeat that lists all of
    /// 870 servers and 300 pools takes less than 16 KiB.
    static constexpr std::size_t max_first_frame_bytes = 65536;
    /// Maximum number of accepted links without a heartbeat; each stays for
    /// 600 ms. Above the peers that connect before the loop reads from them.
    static constexpr std::size_t max_unnamed_links = 256;
    /// Maximum of the unparsed and unsent bytes of all links. The link that
    /// holds most of them is closed. A job has at most 256 KB, and a link that
    /// carries jobs is closed after 1 s without a message.
    static constexpr std::size_t max_held_bytes = 16U << 20U;

    peer_mesh(event_loop& loop, member_record self, mesh_listener& listener);
    ~peer_mesh();
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Returns false if the address cannot be listened on.
    bool listen(const std::string& address, std::uint16_t port);
    /// Sets the content of further heartbeats, except for the interval.
    void set_heartbeat(const heartbeat_message& heartbeat);
    /// Sends a heartbeat to all peers immediately.
    void send_heartbeat();
    /// Updates the announced instances and connects to those without a link.
    void on_members(const std::vector<member_record>& members);
    /// Sends a message. Returns false if the link is closed.
    bool send(std::uint64_t link, const dispatch_message& message);
    /// Sends a message to all peers.
    void broadcast(const dispatch_message& message);
    /// Returns the peers with a link, and those that may still reconnect.
    [[nodiscard]] std::vector<instance_view> live_instances() const;
    /// Returns whether the peer is not suspect, so that it may get jobs.
    [[nodiscard]] bool is_responsive(std::uint64_t link) const;
    /// Returns whether the peer closes a link here once it has read that this
    /// instance has closed it. Those of earlier versions may read what was sent
    /// over it until they notice its end.
    [[nodiscard]] bool discards_closed_links(std::uint64_t link) const;
    /// Returns the time since the last message on the link; 0 if unknown.
    [[nodiscard]] milliseconds last_message_age(std::uint64_t link) const;
    /// Returns the unparsed and unsent bytes of all links.
    [[nodiscard]] std::size_t held_bytes() const { return this->held; }
    /// Returns the number of links, including those without a heartbeat.
    [[nodiscard]] std::size_t link_count() const { return this->links.size(); }
    /// Returns the number of announced instances.
    [[nodiscard]] std::size_t member_count() const
    {
        return this->members.size();
    }
    /// Returns the announced instances.
    [[nodiscard]] std::vector<announced_instance> announced_instances() const;
    /// Returns whether an announcement of an earlier start of this instance was
    /// read.
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
        instant next_heartbeat{0}; ///< when the next one to the peer is due
        /// Interval in the last heartbeat to the peer.
        milliseconds announced_interval{0};
        /// `own_view_version` of the last full heartbeat to the peer.
        std::uint64_t sent_view_version = 0;
        instant last_job{0};        ///< last message about a job, either way
        bool has_open_jobs = false; ///< in either direction
        bool is_holder = false;     ///< of open jobs sent over the link
        /// The peer's clock minus the own one, or less by the time that its
        /// heartbeat was under way.
        std::optional<microseconds> clock_offset;
        instant clock_offset_from{0}; ///< when that heartbeat arrived
    };

    /// An instance whose link was reset and that may reconnect until a time.
    struct reconnecting_peer
    {
        instance_view instance;
        instant until{0};
    };

    void accept();
    /// Closes the links that hold the most bytes while all hold too many.
    void enforce_byte_limit();
    /// Returns the number of accepted links without a heartbeat.
    [[nodiscard]] std::size_t unnamed_links() const;
    /// Counts the instance as alive for the grace period and connects to it.
    void await_reconnect(const instance_view& instance);
    /// Reports the instance as failed if it was awaited.
    void drop_reconnecting(const std::string& name);
    void dial(known_member& member);
    void on_frame(std::uint64_t number, const dispatch_message& message);
    void on_closed(std::uint64_t number, const std::string& reason);
    void on_tick();
    void close_timed_out_links();
    void dial_missing_members();
    /// Sends heartbeats on links where they are due, or where the interval has
    /// become shorter than the announced one.
    void send_due_heartbeats();
    void send_heartbeat(std::uint64_t number, peer_state& peer);
    /// Updates the peer's state for a message about a job, sent or received.
    static void on_job_message(peer_state& peer,
                               const dispatch_message& message);
    void update_open_jobs();
    static void update_clock_offset(peer_state& peer);
    /// Returns the encoded confirmation for the peer; empty if it is of a
    /// version that sends none itself.
    [[nodiscard]] std::string confirmation_frame(const peer_state& peer) const;
    [[nodiscard]] milliseconds
    heartbeat_interval_to(const peer_state& peer) const;
    /// Returns the encoded heartbeat that announces the interval.
    const std::string& heartbeat_frame(milliseconds interval);
    /// Returns the same without the view of this instance.
    const std::string& alive_frame(milliseconds interval);
    void on_heartbeat(std::uint64_t number, peer_state& peer,
                      milliseconds interval);
    /// Informs the peer over the link of the links that are open to it, unless
    /// it is of a version that does not know the message.
    void send_link_state(std::uint64_t number);
    /// The same over all links to the instance of this name.
    void send_link_states(const std::string& name);
    void on_link_state(std::uint64_t number, const peer_link_state& state);
    /// Closes the earlier links to an instance of a version that sends no link
    /// states, which may have closed them.
    void close_superseded_links(const instance_view& instance);
    [[nodiscard]] bool linked(const std::string& name) const;

    loop_scope loop;
    member_record self;
    mesh_listener& listener;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::uint64_t, std::shared_ptr<link>> links;
    std::map<std::uint64_t, peer_state> peers; ///< after the first heartbeat
    closed_link_finder closed_links;
    /// Names of `peers`. Two links to the same instance may exist for a while.
    std::multiset<std::string> linked_names;
    std::map<std::string, known_member> members;
    std::map<std::string, reconnecting_peer> reconnecting; ///< by name
    heartbeat_message own_heartbeat;
    /// Encoded `own_heartbeat` by announced interval.
    std::map<milliseconds, std::string> heartbeat_frames;
    std::map<milliseconds, std::string> alive_frames;
    /// Increases with each change of the view in `own_heartbeat`.
    std::uint64_t own_view_version = 1;
    std::size_t held = 0; ///< bytes, see `max_held_bytes`
    log_limiter refusal_log;
    bool ran_before = false;
    bool stopped = false;
    std::uint64_t next_link = 1;
    instant started;
};

} // namespace jujubedrum
