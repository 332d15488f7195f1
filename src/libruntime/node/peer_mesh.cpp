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

constexpr std::size_t length_bytes = 4;
/// Largest message: a job's body is limited to 256 KB.
constexpr std::size_t most_frame_bytes = 4U << 20U;
constexpr std::size_t read_chunk = 16384;
/// Unsent bytes after which a peer that does not read is dropped.
constexpr std::size_t most_unsent_bytes = 8U << 20U;
constexpr milliseconds dial_interval{500};
constexpr milliseconds dial_timeout{600};
/// Of two instances that start together the one with the smaller name dials
/// first; the other one waits this long.
constexpr milliseconds dial_patience{1000};
/// How often links are looked at; the shortest time between two hellos.
constexpr milliseconds tick{100};
/// Why a link is closed of which nothing was heard in time.
constexpr const char* silent_reason = "silent";

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
        // The peer does not know the link yet: hellos follow at once.
        this->send(this->owner.frame_of(tick));
        this->read();
    }

    void send(const std::string& frame)
    {
        if (!this->ready || this->closed)
        {
            return;
        }
        this->pending += frame;
        if (this->pending.size() > most_unsent_bytes)
        {
            this->close("peer does not read");
            return;
        }
        this->write();
    }

    void close(const std::string& reason)
    {
        if (this->closed)
        {
            return;
        }
        this->closed = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->owner.on_closed(this->number, reason);
    }

    /// Closes without telling the mesh, which is ending.
    void abandon()
    {
        this->closed = true;
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    [[nodiscard]] bool is_closed() const { return this->closed; }

    std::string dialed_name; ///< member that was dialed; empty if accepted
    std::uint64_t dialed_boot = 0;
    instant opened = event_loop::now();

private:
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
        const std::size_t used = this->input.size();
        this->input.resize(used + read_chunk);
        this->socket.async_read_some(
            asio::buffer(this->input.data() + used, read_chunk),
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
        while (this->input.size() - at >= length_bytes)
        {
            std::size_t size = 0;
            for (std::size_t i = 0; i < length_bytes; ++i)
            {
                size |= static_cast<std::size_t>(
                            static_cast<unsigned char>(this->input[at + i]))
                        << (8 * i);
            }
            if (size > most_frame_bytes)
            {
                this->close("frame too long");
                return;
            }
            if (this->input.size() - at - length_bytes < size)
            {
                break;
            }
            std::string why;
            const auto message = decode_message(
                std::string_view(this->input).substr(at + length_bytes, size),
                why);
            at += length_bytes + size;
            if (!message)
            {
                this->close("bad message: " + why);
                return;
            }
            this->owner.on_frame(this->number, *message);
            if (this->closed)
            {
                return;
            }
        }
        this->input.erase(0, at);
        this->read();
    }

    peer_mesh& owner;
    std::uint64_t number;
    tcp::socket socket;
    std::string input;
    std::string pending;
    std::string writing;
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
    this->every_interval();
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
            const std::uint64_t number = this->next_link++;
            const auto added =
                std::make_shared<link>(*this, number, std::move(socket));
            this->links.emplace(number, added);
            added->begin();
            this->accept();
        });
}

void peer_mesh::set_hello(const hello_message& hello)
{
    this->own_hello = hello;
    this->hello_frames.clear();
}

const std::string& peer_mesh::frame_of(milliseconds interval)
{
    std::string& frame = this->hello_frames[interval];
    if (frame.empty())
    {
        hello_message hello = this->own_hello;
        hello.interval = interval;
        frame = encode_frame(hello);
    }
    return frame;
}

milliseconds peer_mesh::interval_to(const peer_state& peer) const
{
    const bool same_domain =
        peer.hello.instance.domain == this->own_hello.instance.domain;
    const bool busy = event_loop::now() - peer.last_job < traffic_memory;
    return heartbeat_timing::interval({!this->own_hello.instance.holds.empty(),
                                       same_domain || busy,
                                       this->peers.size()});
}

void peer_mesh::say_hello(std::uint64_t number, peer_state& peer)
{
    const auto at = this->links.find(number);
    if (at == this->links.end())
    {
        return;
    }
    peer.promised = this->interval_to(peer);
    peer.next_hello = event_loop::now() + peer.promised;
    // A link that cannot be written to is closed on its own event, not here.
    at->second->send(this->frame_of(peer.promised));
}

void peer_mesh::say_hello()
{
    const auto all = this->links;
    for (const auto& [number, each] : all)
    {
        const auto at = this->peers.find(number);
        if (at != this->peers.end())
        {
            this->say_hello(number, at->second);
        }
    }
}

void peer_mesh::say_due_hellos()
{
    const instant now = event_loop::now();
    const auto all = this->links;
    for (const auto& [number, each] : all)
    {
        const auto at = this->peers.find(number);
        if (at != this->peers.end() &&
            (now >= at->second.next_hello ||
             this->interval_to(at->second) < at->second.promised))
        {
            this->say_hello(number, at->second);
        }
    }
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
                                       now - this->started > dial_patience
                                   ? now
                                   : now + dial_patience;
        }
        member.record = record;
        member.seen = now;
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
        // That attempt went to a machine without power, which answers nothing.
        dialing->second->abandon();
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

void peer_mesh::every_interval()
{
    this->close_silent_links();
    this->dial_missing_members();
    this->say_due_hellos();
    this->loop.after(tick, [this] { this->every_interval(); });
}

void peer_mesh::close_silent_links()
{
    const instant now = event_loop::now();
    std::vector<std::shared_ptr<link>> silent;
    for (const auto& [number, each] : this->links)
    {
        const auto at = this->peers.find(number);
        const bool known = at != this->peers.end();
        const instant heard = known ? at->second.heard : each->opened;
        const milliseconds limit =
            known ? heartbeat_timing::dead_timeout(at->second.hello.interval)
                  : dial_timeout;
        if (now - heard > limit)
        {
            silent.push_back(each);
        }
    }
    for (const auto& each : silent)
    {
        each->close(silent_reason);
    }
}

void peer_mesh::dial_missing_members()
{
    const instant now = event_loop::now();
    std::erase_if(this->members, [now](const auto& entry)
                  { return now - entry.second.seen > member_lifetime; });
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
    const auto* hello = std::get_if<hello_message>(&message);
    auto at = this->peers.find(number);
    if (hello == nullptr)
    {
        if (at != this->peers.end())
        {
            at->second.heard = event_loop::now();
            at->second.last_job = at->second.heard;
            this->listener.on_message(number, message);
        }
        return;
    }
    this->doubted.erase(hello->instance.name);
    if (at == this->peers.end())
    {
        this->linked_names.insert(hello->instance.name);
    }
    else if (at->second.hello.instance.name != hello->instance.name)
    {
        this->links.at(number)->close("peer changed its name");
        return;
    }
    peer_state& peer = this->peers[number];
    peer.hello = *hello;
    peer.hello.interval = heartbeat_timing::clamp_interval(hello->interval);
    peer.heard = event_loop::now();
    this->listener.on_hello(number, *hello);
}

void peer_mesh::on_closed(std::uint64_t number, const std::string& reason)
{
    const auto closed = this->links.find(number);
    const std::string dialed = closed == this->links.end()
                                   ? std::string()
                                   : closed->second->dialed_name;
    this->links.erase(number);
    const auto at = this->peers.find(number);
    if (at == this->peers.end())
    {
        // Refused: nothing listens there any more.
        this->forget_doubted(dialed);
        return;
    }
    const instance_view instance = at->second.hello.instance;
    this->peers.erase(at);
    this->linked_names.erase(this->linked_names.find(instance.name));
    if (reason != silent_reason)
    {
        this->doubt(instance);
    }
    this->listener.on_link_lost(number, instance.name, reason);
}

void peer_mesh::doubt(const instance_view& instance)
{
    if (this->linked(instance.name))
    {
        return;
    }
    const instant until = event_loop::now() + reconnect_time;
    this->doubted[instance.name] = {instance, until};
    this->loop.after(reconnect_time,
                     [this, name = instance.name, until]
                     {
                         const auto at = this->doubted.find(name);
                         if (at != this->doubted.end() &&
                             at->second.until == until)
                         {
                             this->forget_doubted(name);
                         }
                     });
    const auto member = this->members.find(instance.name);
    if (member != this->members.end())
    {
        this->dial(member->second);
    }
}

void peer_mesh::forget_doubted(const std::string& name)
{
    if (this->doubted.erase(name) > 0)
    {
        this->listener.on_peer_gone(name);
    }
}

bool peer_mesh::send(std::uint64_t number, const dispatch_message& message)
{
    const auto at = this->links.find(number);
    if (at == this->links.end() || at->second->is_closed())
    {
        return false;
    }
    const auto peer = this->peers.find(number);
    if (peer != this->peers.end())
    {
        peer->second.last_job = event_loop::now();
    }
    at->second->send(encode_frame(message));
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

std::vector<instance_view> peer_mesh::live() const
{
    std::map<std::string, instance_view> by_name;
    for (const auto& [name, peer] : this->doubted)
    {
        by_name[name] = peer.instance;
    }
    for (const auto& [number, peer] : this->peers)
    {
        by_name[peer.hello.instance.name] = peer.hello.instance;
    }
    std::vector<instance_view> result;
    result.reserve(by_name.size());
    for (auto& [name, view] : by_name)
    {
        result.push_back(std::move(view));
    }
    return result;
}

bool peer_mesh::trusted(std::uint64_t number) const
{
    const auto at = this->peers.find(number);
    return at != this->peers.end() &&
           event_loop::now() - at->second.heard <=
               heartbeat_timing::suspect_timeout(at->second.hello.interval);
}

milliseconds peer_mesh::age(std::uint64_t number) const
{
    const auto at = this->peers.find(number);
    return at == this->peers.end() ? milliseconds(0)
                                   : std::chrono::duration_cast<milliseconds>(
                                         event_loop::now() - at->second.heard);
}

std::vector<announced_instance> peer_mesh::announced() const
{
    std::vector<announced_instance> result;
    result.reserve(this->members.size());
    for (const auto& [name, member] : this->members)
    {
        result.push_back({name, member.record.domain, member.record.cpu,
                          this->linked(name)});
    }
    return result;
}

void peer_mesh::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& [number, each] : this->links)
    {
        each->abandon();
    }
    this->links.clear();
    this->peers.clear();
    this->linked_names.clear();
}

} // namespace jujubedrum
