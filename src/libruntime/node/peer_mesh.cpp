#include "node/peer_mesh.hpp"

#include "dispatch/heartbeat_timing.hpp"
#include "logging.hpp"
#include "node/socket_options.hpp"

#include <algorithm>
#include <deque>

#include <boost/asio/write.hpp>

namespace jujubedrum
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
/// Far above the largest message, since a job's body is limited to 256 KB.
constexpr std::size_t max_frame_bytes = 4U << 20U;
constexpr std::size_t read_chunk_bytes = 16384;
/// A link whose peer leaves more unsent bytes than this is closed.
constexpr std::size_t max_unsent_bytes = 8U << 20U;
constexpr milliseconds dial_interval{500};
constexpr milliseconds dial_timeout{600};
/// Of two instances that start at the same time, the one with the smaller name
/// connects to the other one. The latter connects only after this delay.
constexpr milliseconds dial_delay{1000};
/// Interval between checks of the links, and minimum heartbeat interval.
constexpr milliseconds tick_interval{100};
/// Reason logged for a link that timed out.
constexpr const char* timeout_reason = "silent";
/// Reason logged for a link of which the peer has closed its end.
constexpr const char* closed_by_peer_reason = "closed by the peer";

std::uint32_t low_bits_of_milliseconds(instant time)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(time).count());
}

/// Returns the time with these low bits that is nearest to an earlier one. A
/// peer that does not send its time stays without one.
instant time_after(instant earlier, std::uint32_t low_bits)
{
    if (earlier.count() == 0)
    {
        return earlier;
    }
    const auto difference =
        static_cast<std::int32_t>(low_bits - low_bits_of_milliseconds(earlier));
    return std::chrono::floor<milliseconds>(earlier) + milliseconds(difference);
}

} // namespace

class peer_mesh::link : public std::enable_shared_from_this<peer_mesh::link>
{
public:
    link(peer_mesh& mesh, std::uint64_t id, tcp::socket connection)
        : owner(mesh)
        , number(id)
        , socket(std::move(connection))
    {
    }

    void connect(const tcp::endpoint& endpoint)
    {
        this->socket.async_connect(endpoint,
                                   [self = this->shared_from_this()](
                                       const boost::system::error_code& error)
                                   {
                                       if (error)
                                       {
                                           self->close(error.message());
                                           return;
                                       }
                                       self->begin();
                                   });
    }

    void begin()
    {
        if (this->closed)
        {
            return;
        }
        set_socket_options(this->socket);
        this->ready = true;
        // The interval depends on the peer, which is unknown until its first
        // heartbeat. The next heartbeat follows within a tick after that.
        this->send(this->owner.heartbeat_frame(tick_interval));
        this->read();
    }

    void send(const std::string& frame)
    {
        if (!this->ready || this->closed)
        {
            return;
        }
        this->pending += frame;
        if (this->pending.size() + this->writing.size() > max_unsent_bytes)
        {
            this->close("more than 8 MiB unsent, peer does not read");
            return;
        }
        this->write();
        this->account();
    }

    void close(const std::string& reason)
    {
        if (this->closed)
        {
            return;
        }
        this->close_without_notice();
        this->owner.on_closed(this->number, reason);
    }

    /// Closes the link without a call to `on_closed`.
    void close_without_notice()
    {
        this->closed = true;
        this->account();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    [[nodiscard]] bool is_closed() const { return this->closed; }
    [[nodiscard]] std::size_t held_bytes() const { return this->accounted; }

    std::string dialed_name; ///< empty for an accepted link
    std::uint64_t dialed_boot = 0;
    instant opened = event_loop::now();

private:
    /// Updates the bytes of all links by those of this one.
    void account()
    {
        this->owner.held -= this->accounted;
        this->accounted = this->closed
                              ? 0
                              : this->input.size() + this->pending.size() +
                                    this->writing.size();
        this->owner.held += this->accounted;
    }

    void write()
    {
        if (!this->writing.empty() || this->pending.empty())
        {
            return;
        }
        this->writing.swap(this->pending);
        asio::async_write(
            this->socket, asio::buffer(this->writing),
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t)
            {
                self->writing.clear();
                self->account();
                if (error)
                {
                    self->close(error.message());
                    return;
                }
                self->write();
            });
    }

    void read()
    {
        if (this->closed)
        {
            return;
        }
        const std::size_t used = this->input.size();
        this->input.resize(used + read_chunk_bytes);
        this->socket.async_read_some(
            asio::buffer(this->input.data() + used, read_chunk_bytes),
            [self = this->shared_from_this(),
             used](const boost::system::error_code& error, std::size_t size)
            {
                self->input.resize(used + size);
                if (self->closed)
                {
                    return;
                }
                if (error)
                {
                    self->close(error.message());
                    return;
                }
                self->parse();
            });
    }

    void parse()
    {
        std::size_t at = 0;
        while (this->input.size() - at >= length_prefix_bytes)
        {
            std::size_t size = 0;
            for (std::size_t i = 0; i < length_prefix_bytes; ++i)
            {
                size |= static_cast<std::size_t>(
                            static_cast<unsigned char>(this->input[at + i]))
                        << (8 * i);
            }
            const bool named = this->owner.peers.count(this->number) > 0;
            if (size > (named ? max_frame_bytes : max_first_frame_bytes))
            {
                this->close(named ? "frame longer than 4 MiB"
                                  : "first frame longer than 64 KiB");
                return;
            }
            if (this->input.size() - at - length_prefix_bytes < size)
            {
                break;
            }
            std::string why;
            const auto message =
                decode_message(std::string_view(this->input)
                                   .substr(at + length_prefix_bytes, size),
                               why);
            at += length_prefix_bytes + size;
            if (!message)
            {
                this->close("cannot decode message: " + why);
                return;
            }
            this->owner.on_frame(this->number, *message);
            if (this->closed)
            {
                return;
            }
        }
        this->input.erase(0, at);
        if (this->input.size() < read_chunk_bytes &&
            this->input.capacity() > 4 * read_chunk_bytes)
        {
            this->input.shrink_to_fit();
        }
        this->account();
        this->owner.enforce_byte_limit();
        this->read();
    }

    peer_mesh& owner;
    std::uint64_t number;
    tcp::socket socket;
    std::string input;
    std::string pending;
    std::string writing;
    std::size_t accounted = 0;
    bool ready = false;
    bool closed = false;
};

peer_mesh::peer_mesh(event_loop& events, member_record own,
                     mesh_listener& receiver)
    : loop(events)
    , self(std::move(own))
    , listener(receiver)
    , acceptor(events.context())
    , started(event_loop::now())
{
}

peer_mesh::~peer_mesh()
{
    this->stop();
}

bool peer_mesh::listen(const std::string& address, std::uint16_t port)
{
    if (!open_acceptor(this->acceptor, address, port,
                       asio::socket_base::max_listen_connections))
    {
        return false;
    }
    this->accept();
    this->on_tick();
    return true;
}

void peer_mesh::accept()
{
    this->acceptor.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (error)
            {
                this->loop.after(dial_interval, [this] { this->accept(); });
                return;
            }
            if (this->unnamed_links() >= max_unnamed_links)
            {
                const auto refused =
                    this->refusal_log.count("links", event_loop::now());
                if (refused)
                {
                    LOG(WARNING)
                        << "peer: links refused; reason=\"too many links "
                           "without a heartbeat\" count="
                        << *refused;
                }
                this->accept();
                return;
            }
            const std::uint64_t number = this->next_link++;
            const auto added =
                std::make_shared<link>(*this, number, std::move(socket));
            this->links.emplace(number, added);
            this->accept();
            added->begin();
        });
}

std::size_t peer_mesh::unnamed_links() const
{
    return static_cast<std::size_t>(
        std::count_if(this->links.begin(), this->links.end(),
                      [this](const auto& entry)
                      {
                          return entry.second->dialed_name.empty() &&
                                 this->peers.count(entry.first) == 0;
                      }));
}

void peer_mesh::enforce_byte_limit()
{
    while (this->held > max_held_bytes)
    {
        const auto largest = std::max_element(
            this->links.begin(), this->links.end(),
            [](const auto& a, const auto& b)
            { return a.second->held_bytes() < b.second->held_bytes(); });
        if (largest == this->links.end() || largest->second->held_bytes() == 0)
        {
            return;
        }
        const auto chosen = largest->second;
        chosen->close("links hold more than 16 MiB, this one the most");
    }
}

void peer_mesh::set_heartbeat(const heartbeat_message& heartbeat)
{
    if (this->own_heartbeat.instance != heartbeat.instance)
    {
        ++this->own_view_version;
    }
    this->own_heartbeat = heartbeat;
    this->heartbeat_frames.clear();
    this->alive_frames.clear();
}

const std::string& peer_mesh::heartbeat_frame(milliseconds interval)
{
    std::string& frame = this->heartbeat_frames[interval];
    if (frame.empty())
    {
        heartbeat_message heartbeat = this->own_heartbeat;
        heartbeat.interval = interval;
        heartbeat.sent_at = event_loop::now();
        frame = encode_frame(heartbeat);
    }
    return frame;
}

const std::string& peer_mesh::alive_frame(milliseconds interval)
{
    std::string& frame = this->alive_frames[interval];
    if (frame.empty())
    {
        frame = encode_frame(
            alive_message{this->own_heartbeat.load, interval,
                          low_bits_of_milliseconds(event_loop::now())});
    }
    return frame;
}

milliseconds peer_mesh::heartbeat_interval_to(const peer_state& peer) const
{
    const bool same_domain =
        peer.heartbeat.instance.domain == this->own_heartbeat.instance.domain;
    const bool busy = event_loop::now() - peer.last_job < recent_traffic_window;
    return heartbeat_timing::interval(
        {!this->own_heartbeat.instance.holds.empty(), same_domain || busy,
         this->peers.size(), peer.has_open_jobs});
}

void peer_mesh::send_heartbeat(std::uint64_t number, peer_state& peer)
{
    const auto at = this->links.find(number);
    if (at == this->links.end())
    {
        return;
    }
    peer.announced_interval = this->heartbeat_interval_to(peer);
    peer.next_heartbeat = event_loop::now() + peer.announced_interval;
    const bool view_known = peer.heartbeat.accepts_alive &&
                            peer.sent_view_version == this->own_view_version;
    peer.sent_view_version = this->own_view_version;
    const std::string& frame =
        view_known ? this->alive_frame(peer.announced_interval)
                   : this->heartbeat_frame(peer.announced_interval);
    // A link on which sending fails closes itself.
    at->second->send(peer.is_holder ? frame + this->confirmation_frame(peer)
                                    : frame);
}

void peer_mesh::send_heartbeat()
{
    const auto all = this->links;
    for (const auto& [number, each] : all)
    {
        const auto at = this->peers.find(number);
        if (at != this->peers.end())
        {
            this->send_heartbeat(number, at->second);
        }
    }
}

void peer_mesh::send_due_heartbeats()
{
    const instant now = event_loop::now();
    const auto all = this->links;
    for (const auto& [number, each] : all)
    {
        const auto at = this->peers.find(number);
        if (at != this->peers.end() &&
            (now >= at->second.next_heartbeat ||
             this->heartbeat_interval_to(at->second) <
                 at->second.announced_interval))
        {
            this->send_heartbeat(number, at->second);
        }
    }
}

void peer_mesh::on_job_message(peer_state& peer,
                               const dispatch_message& message)
{
    if (std::holds_alternative<confirm_message>(message))
    {
        return;
    }
    peer.last_job = event_loop::now();
    peer.has_open_jobs =
        peer.has_open_jobs || std::holds_alternative<submit_message>(message);
}

void peer_mesh::update_open_jobs()
{
    const std::set<std::uint64_t> with_open_jobs =
        this->listener.links_with_open_jobs();
    const std::set<std::uint64_t> holders = this->listener.links_to_holders();
    for (auto& [number, peer] : this->peers)
    {
        peer.has_open_jobs = with_open_jobs.count(number) > 0;
        peer.is_holder = holders.count(number) > 0;
    }
}

void peer_mesh::update_clock_offset(peer_state& peer)
{
    if (peer.heartbeat.sent_at.count() == 0)
    {
        return;
    }
    const instant now = event_loop::now();
    const microseconds offset = peer.heartbeat.sent_at - now;
    if (!peer.clock_offset || offset >= *peer.clock_offset ||
        now - peer.clock_offset_from > clock_offset_lifetime)
    {
        peer.clock_offset = offset;
        peer.clock_offset_from = now;
    }
}

std::string peer_mesh::confirmation_frame(const peer_state& peer) const
{
    if (!peer.clock_offset)
    {
        return {};
    }
    return encode_frame(confirm_message{this->loop.events().handled_until() +
                                        *peer.clock_offset});
}

void peer_mesh::on_members(const std::vector<member_record>& announced)
{
    const instant now = event_loop::now();
    for (const member_record& record : announced)
    {
        if (record.name == this->self.name)
        {
            this->ran_before =
                this->ran_before || record.boot != this->self.boot;
            continue;
        }
        known_member& member = this->members[record.name];
        if (member.record.boot != record.boot)
        {
            member.next_dial = this->self.name < record.name ||
                                       now - this->started > dial_delay
                                   ? now
                                   : now + dial_delay;
        }
        member.record = record;
        member.last_seen = now;
        if (now >= member.next_dial && !this->linked(record.name))
        {
            this->dial(member);
        }
    }
}

bool peer_mesh::linked(const std::string& name) const
{
    return this->linked_names.count(name) > 0;
}

void peer_mesh::dial(known_member& member)
{
    if (this->stopped)
    {
        return;
    }
    member.next_dial = event_loop::now() + dial_interval;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(member.record.address, error);
    if (error)
    {
        return;
    }
    const auto dialing =
        std::find_if(this->links.begin(), this->links.end(),
                     [&member](const auto& entry) {
                         return entry.second->dialed_name == member.record.name;
                     });
    if (dialing != this->links.end())
    {
        if (dialing->second->dialed_boot == member.record.boot)
        {
            return;
        }
        // The attempt is for an earlier incarnation, whose machine may have no
        // power and then does not answer.
        dialing->second->close_without_notice();
        this->links.erase(dialing);
    }
    const std::uint64_t number = this->next_link++;
    const auto added = std::make_shared<link>(
        *this, number, tcp::socket(this->loop.context()));
    added->dialed_name = member.record.name;
    added->dialed_boot = member.record.boot;
    this->links.emplace(number, added);
    added->connect({address, member.record.port});
}

void peer_mesh::on_tick()
{
    this->loop.after(tick_interval, [this] { this->on_tick(); });
    // The frames hold the time at which they were encoded.
    this->heartbeat_frames.clear();
    this->alive_frames.clear();
    this->close_timed_out_links();
    this->dial_missing_members();
    this->update_open_jobs();
    this->send_due_heartbeats();
}

void peer_mesh::close_timed_out_links()
{
    const instant now = event_loop::now();
    std::vector<std::shared_ptr<link>> timed_out_links;
    for (const auto& [number, each] : this->links)
    {
        const auto at = this->peers.find(number);
        const bool known = at != this->peers.end();
        const instant last_received =
            known ? at->second.last_received : each->opened;
        const milliseconds limit =
            known
                ? heartbeat_timing::dead_timeout(at->second.heartbeat.interval)
                : dial_timeout;
        if (now - last_received > limit)
        {
            timed_out_links.push_back(each);
        }
    }
    for (const auto& each : timed_out_links)
    {
        each->close(timeout_reason);
    }
}

void peer_mesh::dial_missing_members()
{
    const instant now = event_loop::now();
    std::erase_if(this->members, [now](const auto& entry)
                  { return now - entry.second.last_seen > member_lifetime; });
    for (auto& [name, member] : this->members)
    {
        if (now >= member.next_dial && !this->linked(name))
        {
            this->dial(member);
        }
    }
}

void peer_mesh::on_frame(std::uint64_t number, const dispatch_message& message)
{
    const auto* heartbeat = std::get_if<heartbeat_message>(&message);
    auto at = this->peers.find(number);
    if (const auto* alive = std::get_if<alive_message>(&message))
    {
        if (at != this->peers.end())
        {
            at->second.heartbeat.load = alive->load;
            at->second.heartbeat.sent_at =
                time_after(at->second.heartbeat.sent_at, alive->sent_at_ms);
            this->on_heartbeat(number, at->second, alive->interval);
        }
        return;
    }
    if (heartbeat == nullptr)
    {
        if (at == this->peers.end())
        {
            return;
        }
        at->second.last_received = event_loop::now();
        if (const auto* links = std::get_if<link_state_message>(&message))
        {
            this->on_link_state(number, links->state);
            return;
        }
        on_job_message(at->second, message);
        this->listener.on_message(number, message);
        return;
    }
    this->reconnecting.erase(heartbeat->instance.name);
    if (at == this->peers.end())
    {
        this->linked_names.insert(heartbeat->instance.name);
    }
    else if (at->second.heartbeat.instance.name != heartbeat->instance.name)
    {
        this->links.at(number)->close(
            "heartbeat with another name than before");
        return;
    }
    const bool first = at == this->peers.end();
    this->peers[number].heartbeat = *heartbeat;
    if (first)
    {
        // Before the listener sends jobs over the link.
        this->send_link_state(number);
    }
    at = this->peers.find(number);
    if (at == this->peers.end())
    {
        return;
    }
    this->on_heartbeat(number, at->second, heartbeat->interval);
    if (first && !heartbeat->accepts_link_state)
    {
        this->close_superseded_links(heartbeat->instance);
    }
}

void peer_mesh::send_link_states(const std::string& name)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, peer] : this->peers)
    {
        if (peer.heartbeat.instance.name == name)
        {
            numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers)
    {
        this->send_link_state(number);
    }
}

void peer_mesh::send_link_state(std::uint64_t number)
{
    const auto at = this->links.find(number);
    const auto receiver = this->peers.find(number);
    if (at == this->links.end() || receiver == this->peers.end() ||
        !receiver->second.heartbeat.accepts_link_state)
    {
        return;
    }
    const std::string& name = receiver->second.heartbeat.instance.name;
    peer_link_state state{number, {}, this->next_link - 1};
    for (const auto& [other, each] : this->links)
    {
        const auto peer = this->peers.find(other);
        // The peer of an accepted link without a heartbeat is not known yet.
        const std::string& other_name =
            peer == this->peers.end() ? each->dialed_name
                                      : peer->second.heartbeat.instance.name;
        if (!each->is_closed() && (other_name.empty() || other_name == name))
        {
            state.open_links.push_back(other);
        }
    }
    at->second->send(encode_frame(link_state_message{std::move(state)}));
}

void peer_mesh::on_link_state(std::uint64_t number,
                              const peer_link_state& state)
{
    const instance_view& instance = this->peers.at(number).heartbeat.instance;
    const auto closed = this->closed_links.update(
        number, {instance.name, instance.boot}, state, event_loop::now());
    for (const std::uint64_t each : closed)
    {
        const auto at = this->links.find(each);
        if (at != this->links.end())
        {
            const auto keep_alive = at->second;
            keep_alive->close(closed_by_peer_reason);
        }
    }
}

void peer_mesh::close_superseded_links(const instance_view& instance)
{
    std::vector<std::shared_ptr<link>> same_boot;
    for (const auto& [number, peer] : this->peers)
    {
        const instance_view& other = peer.heartbeat.instance;
        const auto at = this->links.find(number);
        if (other.name == instance.name && other.boot == instance.boot &&
            at != this->links.end())
        {
            same_boot.push_back(at->second);
        }
    }
    // They are in the order in which they were opened or accepted.
    for (std::size_t i = 0; i + 1 < same_boot.size(); ++i)
    {
        same_boot[i]->close("superseded by a newer link");
    }
}

void peer_mesh::on_heartbeat(std::uint64_t number, peer_state& peer,
                             milliseconds interval)
{
    peer.heartbeat.interval = heartbeat_timing::clamp_interval(interval);
    peer.last_received = event_loop::now();
    update_clock_offset(peer);
    // The listener may close the link, which erases the peer.
    const heartbeat_message heartbeat = peer.heartbeat;
    this->listener.on_heartbeat(number, heartbeat);
}

void peer_mesh::on_closed(std::uint64_t number, const std::string& reason)
{
    const auto closed = this->links.find(number);
    const std::string dialed = closed == this->links.end()
                                   ? std::string()
                                   : closed->second->dialed_name;
    this->links.erase(number);
    this->closed_links.remove_link(number, event_loop::now());
    const auto at = this->peers.find(number);
    if (at == this->peers.end())
    {
        // The connection was refused: the process has ended.
        this->drop_reconnecting(dialed);
        return;
    }
    const instance_view instance = at->second.heartbeat.instance;
    this->peers.erase(at);
    this->linked_names.erase(this->linked_names.find(instance.name));
    // Before the jobs that were sent over the closed link are sent again.
    this->send_link_states(instance.name);
    if (reason != timeout_reason)
    {
        this->await_reconnect(instance);
    }
    this->listener.on_link_closed(number, instance.name, reason);
}

void peer_mesh::await_reconnect(const instance_view& instance)
{
    if (this->linked(instance.name))
    {
        return;
    }
    const instant until = event_loop::now() + reconnect_grace_period;
    this->reconnecting[instance.name] = {instance, until};
    this->loop.after(reconnect_grace_period,
                     [this, name = instance.name, until]
                     {
                         const auto at = this->reconnecting.find(name);
                         if (at != this->reconnecting.end() &&
                             at->second.until == until)
                         {
                             this->drop_reconnecting(name);
                         }
                     });
    const auto member = this->members.find(instance.name);
    if (member != this->members.end())
    {
        this->dial(member->second);
    }
}

void peer_mesh::drop_reconnecting(const std::string& name)
{
    if (this->reconnecting.erase(name) > 0)
    {
        this->listener.on_peer_failed(name);
    }
}

bool peer_mesh::send(std::uint64_t number, const dispatch_message& message)
{
    std::string frame = encode_frame(message);
    const auto peer = this->peers.find(number);
    if (peer != this->peers.end())
    {
        on_job_message(peer->second, message);
        if (std::holds_alternative<submit_message>(message))
        {
            peer->second.is_holder = true;
            frame.insert(0, this->confirmation_frame(peer->second));
        }
        // A holder gets the shorter interval before the job. Otherwise it would
        // notice the loss of this instance late until the next tick.
        if (this->heartbeat_interval_to(peer->second) <
            peer->second.announced_interval)
        {
            this->send_heartbeat(number, peer->second);
        }
    }
    const auto at = this->links.find(number);
    if (at == this->links.end() || at->second->is_closed())
    {
        return false;
    }
    at->second->send(frame);
    return true;
}

void peer_mesh::broadcast(const dispatch_message& message)
{
    const std::string frame = encode_frame(message);
    const auto all = this->links;
    for (const auto& [number, each] : all)
    {
        each->send(frame);
    }
}

std::vector<instance_view> peer_mesh::live_instances() const
{
    std::map<std::string, instance_view> by_name;
    for (const auto& [name, peer] : this->reconnecting)
    {
        by_name[name] = peer.instance;
    }
    for (const auto& [number, peer] : this->peers)
    {
        by_name[peer.heartbeat.instance.name] = peer.heartbeat.instance;
    }
    std::vector<instance_view> result;
    result.reserve(by_name.size());
    for (auto& [name, view] : by_name)
    {
        result.push_back(std::move(view));
    }
    return result;
}

bool peer_mesh::is_responsive(std::uint64_t number) const
{
    const auto at = this->peers.find(number);
    return at != this->peers.end() &&
           event_loop::now() - at->second.last_received <=
               heartbeat_timing::suspect_timeout(at->second.heartbeat.interval);
}

bool peer_mesh::discards_closed_links(std::uint64_t number) const
{
    const auto at = this->peers.find(number);
    return at != this->peers.end() && at->second.heartbeat.accepts_link_state;
}

milliseconds peer_mesh::last_message_age(std::uint64_t number) const
{
    const auto at = this->peers.find(number);
    return at == this->peers.end()
               ? milliseconds(0)
               : std::chrono::duration_cast<milliseconds>(
                     event_loop::now() - at->second.last_received);
}

std::vector<announced_instance> peer_mesh::announced_instances() const
{
    std::vector<announced_instance> result;
    result.reserve(this->members.size());
    for (const auto& [name, member] : this->members)
    {
        result.push_back({name, member.record.domain, member.record.cpu,
                          this->linked(name), member.record.link_kbps});
    }
    return result;
}

void peer_mesh::stop()
{
    this->stopped = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& [number, each] : this->links)
    {
        each->close_without_notice();
    }
    this->links.clear();
    this->peers.clear();
    this->linked_names.clear();
}

} // namespace jujubedrum
