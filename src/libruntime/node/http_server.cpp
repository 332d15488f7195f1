#include "node/http_server.hpp"

#include "logging.hpp"
#include "node/socket_options.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jujubedrum
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

/// Maximum number of connections that wait to be accepted.
constexpr int listen_backlog = 1024;
/// Wait after a failed accept, such as when file descriptors run out.
constexpr milliseconds accept_backoff{50};
/// Many callers that send slowly must not take up large buffers.
constexpr std::size_t read_chunk_bytes = 4096;
/// Interval between checks whether a caller with unread bytes has disconnected.
/// The tasks of a job stop within 1.16 s after its caller left
/// (docs/platform.md), 90 ms before the caller may try again.
constexpr milliseconds disconnect_check_interval{50};
/// Until callers return that were refused for memory.
constexpr milliseconds memory_retry_after{1000};
/// Size of the kernel's buffers of a connection with limited memory. It carries
/// 46 Mbit/s over a round trip of 2.8 ms.
constexpr int small_buffer_bytes = 16384;
constexpr const char* idle_timeout_cause = "idle_timeout";
/// The shortest header field, "a:" and the line end.
constexpr std::size_t min_field_bytes = 4;

std::string serialize_answer(const http_answer& answer, bool keep_alive)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                       std::string(http::obsolete_reason(
                           static_cast<http::status>(answer.status))) +
                       "\r\n";
    if (!answer.body.empty())
    {
        text += "Content-Type: " + answer.content_type + "\r\n";
    }
    if (answer.retry_after.count() > 0)
    {
        // The header holds whole seconds; rounded up.
        text += "Retry-After: " +
                std::to_string((answer.retry_after.count() + 999) / 1000) +
                "\r\n";
    }
    if (!keep_alive)
    {
        text += "Connection: close\r\n";
    }
    return text + "Content-Length: " + std::to_string(answer.body.size()) +
           "\r\n\r\n" + answer.body;
}

} // namespace

/// One connection of a caller. It serves one request after the other.
class http_server::session
    : public std::enable_shared_from_this<http_server::session>
{
public:
    session(http_server& server, std::uint64_t id, tcp::socket connection)
        : owner(server)
        , number(id)
        , socket(std::move(connection))
    {
        this->parser.emplace();
    }

    void begin()
    {
        set_socket_options(this->socket);
        this->await_request();
    }

    void answer(std::uint64_t request, const http_answer& value)
    {
        if (this->closed || request != this->request_number || !this->serving)
        {
            return;
        }
        this->keep_alive = this->keep_alive && !this->owner.draining;
        this->finish_serving();
        this->out = serialize_answer(value, this->keep_alive);
        this->written = 0;
        this->set_phase(caller_phase::answering);
        this->owner.enforce_memory_limit();
        if (!this->closed)
        {
            this->write();
        }
    }

    void set_disconnect_handler(std::uint64_t request,
                                std::function<void()> function)
    {
        if (request == this->request_number && this->serving)
        {
            this->disconnect_handler = std::move(function);
        }
    }

    void close()
    {
        if (this->closed)
        {
            return;
        }
        this->closed = true;
        this->cancel_timer();
        this->owner.budget.remove(this->number);
        if (this->serving)
        {
            const std::function<void()> function =
                std::move(this->disconnect_handler);
            this->finish_serving();
            if (function)
            {
                function();
            }
        }
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
        this->owner.sessions.erase(this->number);
    }

private:
    class responder : public http_responder
    {
    public:
        responder(std::weak_ptr<session> connection, std::uint64_t request)
            : owning_session(std::move(connection))
            , number(request)
        {
        }
        void answer(const http_answer& value) override
        {
            if (const auto held = this->owning_session.lock())
            {
                held->answer(this->number, value);
            }
        }
        void on_disconnect(std::function<void()> function) override
        {
            if (const auto held = this->owning_session.lock())
            {
                held->set_disconnect_handler(this->number, std::move(function));
            }
        }

    private:
        std::weak_ptr<session> owning_session;
        std::uint64_t number;
    };

    void write()
    {
        this->set_timer(this->owner.machine_limits.answer_timeout,
                        "answer_timeout");
        if (!this->reads_slowly &&
            (this->written > 0 || this->buffer.size() > 0))
        {
            this->reads_slowly = true;
            set_send_timeout(this->socket,
                             this->owner.machine_limits.answer_timeout);
        }
        this->socket.async_write_some(
            asio::buffer(this->out) + this->written,
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t size)
            { self->on_written(error, size); });
    }

    void on_written(const boost::system::error_code& error, std::size_t size)
    {
        if (this->closed)
        {
            return;
        }
        this->written += size;
        if (!error && this->written < this->out.size())
        {
            this->write();
            return;
        }
        if (error || !this->keep_alive)
        {
            this->close();
            return;
        }
        this->await_request();
    }

    void await_request()
    {
        this->out = std::string();
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->owner.limits.header_bytes));
        this->parser->body_limit(this->owner.limits.body_bytes);
        this->parser->on_chunk_header(this->on_chunk);
        this->extension_bytes = 0;
        this->header_size = 0;
        // A pending read refers to the memory of the buffer.
        if (!this->reading && this->buffer.capacity() > 2 * read_chunk_bytes)
        {
            this->buffer.shrink_to_fit();
        }
        this->set_phase(caller_phase::idle);
        this->set_timer(this->owner.limits.idle_timeout, idle_timeout_cause);
        if (this->buffer.size() == 0)
        {
            this->read();
            return;
        }
        // Others get their turn before the next request of a caller that
        // pipelines.
        asio::post(this->owner.loop.context(),
                   [self = this->shared_from_this()]
                   {
                       if (!self->closed && self->awaits_request())
                       {
                           self->parse();
                       }
                   });
    }

    [[nodiscard]] bool awaits_request() const
    {
        return this->phase == caller_phase::idle ||
               this->phase == caller_phase::reading;
    }

    void read()
    {
        if (this->reading || this->closed)
        {
            return;
        }
        this->reading = true;
        this->socket.async_read_some(
            this->buffer.prepare(read_chunk_bytes),
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t size)
            {
                self->reading = false;
                self->on_bytes(error, size);
            });
    }

    void on_bytes(const boost::system::error_code& error, std::size_t size)
    {
        if (this->closed)
        {
            return;
        }
        if (error)
        {
            this->close();
            return;
        }
        this->buffer.commit(size);
        if (this->awaits_request())
        {
            this->parse();
            return;
        }
        // A pipelined request waits for the answer to the previous one.
        this->await_disconnect();
    }

    /// Detects that the caller disconnected while its request is served. With
    /// unread bytes, the socket is checked at intervals instead of reading
    /// further.
    void await_disconnect()
    {
        if (this->closed || !this->serving)
        {
            return;
        }
        if (this->buffer.size() == 0)
        {
            this->read();
            return;
        }
        if (disconnected(this->socket))
        {
            this->close();
            return;
        }
        if (this->checking_disconnect)
        {
            return;
        }
        this->checking_disconnect = true;
        this->owner.loop.after(disconnect_check_interval,
                               [weak = this->weak_from_this()]
                               {
                                   if (const auto self = weak.lock())
                                   {
                                       self->checking_disconnect = false;
                                       self->await_disconnect();
                                   }
                               });
    }

    void parse()
    {
        if (this->phase == caller_phase::idle)
        {
            this->set_phase(caller_phase::reading);
            this->set_timer(this->owner.limits.header_timeout,
                            "request_timeout");
        }
        while (this->buffer.size() > 0 && !this->parser->is_done())
        {
            boost::system::error_code error;
            this->parser->eager(true);
            const bool in_header = !this->parser->is_header_done();
            const std::size_t used =
                this->parser->put(this->buffer.data(), error);
            this->buffer.consume(used);
            if (in_header && this->parser->is_header_done())
            {
                this->header_size =
                    used - std::min(used, this->parser->get().body().size());
            }
            if (error == http::error::need_more)
            {
                break;
            }
            if (error)
            {
                this->refuse(error);
                return;
            }
            if (used == 0)
            {
                break;
            }
        }
        if (this->too_many_extra_bytes())
        {
            this->refuse(431, "chunk_extra");
            return;
        }
        if (!this->parser->is_done())
        {
            this->set_phase(caller_phase::reading);
            this->owner.enforce_memory_limit();
            this->read();
            return;
        }
        if (this->too_many_fields())
        {
            this->refuse(431, "fields");
            return;
        }
        this->serve();
    }

    /// The parser waits for a chunk line, and for all trailers, as a whole, and
    /// counts neither against the header limit.
    [[nodiscard]] bool too_many_extra_bytes() const
    {
        const std::size_t configured =
            this->owner.machine_limits.chunk_extra_bytes;
        const std::size_t limit =
            configured > 0 ? configured : this->owner.limits.header_bytes;
        const bool waits =
            this->parser->is_header_done() && !this->parser->is_done();
        return this->extension_bytes > limit ||
               (waits && this->buffer.size() > limit);
    }

    [[nodiscard]] bool too_many_fields() const
    {
        const std::size_t configured = this->owner.machine_limits.fields;
        const std::size_t limit =
            configured > 0 ? configured
                           : this->owner.limits.header_bytes / min_field_bytes;
        const auto& message = this->parser->get();
        return static_cast<std::size_t>(
                   std::distance(message.begin(), message.end())) > limit;
    }

    /// Sets the phase and updates the memory that is accounted to it.
    void set_phase(caller_phase changed)
    {
        this->phase = changed;
        std::size_t bytes = caller_budget::connection_bytes +
                            this->buffer.capacity() + this->out.capacity();
        if (changed == caller_phase::reading)
        {
            bytes += this->header_size * caller_budget::header_factor +
                     2 * this->parser->get().body().size();
        }
        if (changed == caller_phase::serving)
        {
            bytes += this->job_bytes;
        }
        this->owner.budget.update(this->number, changed, bytes,
                                  event_loop::now());
    }

    void refuse(const boost::system::error_code& error)
    {
        if (error == http::error::header_limit)
        {
            this->refuse(431, "header");
            return;
        }
        if (error == http::error::body_limit)
        {
            this->refuse(413, "body");
            return;
        }
        this->refuse(400, "malformed");
    }

    void refuse(int status, const char* cause,
                milliseconds retry_after = milliseconds(0))
    {
        this->owner.count_refusal(cause);
        // Unread bytes and what was parsed are not needed any more.
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->parser.emplace();
        this->job_bytes = 0;
        this->begin_serving(false);
        this->answer(this->request_number, {status, "", retry_after});
    }

    void begin_serving(bool keep)
    {
        this->cancel_timer();
        this->keep_alive = keep;
        this->serving = true;
        ++this->request_number;
        ++this->owner.active_requests;
        this->set_phase(caller_phase::serving);
    }

    void finish_serving()
    {
        this->serving = false;
        this->disconnect_handler = nullptr;
        --this->owner.active_requests;
    }

    void serve()
    {
        // On an instance that lags behind, a request may be read long after its
        // caller has left and sent it again to another one.
        if (closed_by_peer(this->socket))
        {
            this->close();
            return;
        }
        this->job_bytes =
            caller_budget::job_bytes(this->parser->get().body().size());
        if (!this->owner.budget.admits(this->job_bytes))
        {
            this->refuse(503, "memory_refused", memory_retry_after);
            return;
        }
        auto message = this->parser->release();
        this->begin_serving(message.keep_alive());
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.deadline = std::string(message[this->owner.deadline_header]);
        request.body = std::move(message.body());
        this->await_disconnect();
        if (this->closed)
        {
            return;
        }
        this->owner.serve(std::move(request),
                          std::make_shared<responder>(this->weak_from_this(),
                                                      this->request_number));
    }

    /// Closes the connection after the delay.
    /// \param cause counted then.
    void set_timer(milliseconds delay, const char* cause)
    {
        this->cancel_timer();
        this->timer =
            this->owner.loop.after(delay,
                                   [self = this->weak_from_this(), cause]
                                   {
                                       if (const auto held = self.lock())
                                       {
                                           held->timer.reset();
                                           held->owner.count_refusal(cause);
                                           held->close();
                                       }
                                   });
    }

    void cancel_timer()
    {
        if (this->timer)
        {
            this->owner.loop.events().cancel(*this->timer);
            this->timer.reset();
        }
    }

    http_server& owner;
    const std::uint64_t number;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::string out;
    std::function<void()> disconnect_handler;
    std::optional<event_loop::timer_id> timer;
    std::uint64_t request_number = 0;
    caller_phase phase = caller_phase::idle;
    std::size_t written = 0;         ///< of `out`
    std::size_t header_size = 0;     ///< once the header is complete
    std::size_t extension_bytes = 0; ///< of the request's chunks
    std::size_t job_bytes = 0;       ///< accounted to the request served
    /// Called by the parser, which refers to it.
    std::function<void(std::uint64_t, boost::beast::string_view,
                       boost::system::error_code&)>
        on_chunk = [this](std::uint64_t, boost::beast::string_view extensions,
                          boost::system::error_code&)
    { this->extension_bytes += extensions.size(); };
    /// An answer did not fit in the buffers of the kernel, or may not, since
    /// the caller pipelines.
    bool reads_slowly = false;
    bool reading = false;
    bool checking_disconnect = false;
    bool serving = false;
    bool keep_alive = true;
    bool closed = false;
};

http_server::http_server(event_loop& events, std::string header,
                         handler on_request)
    : loop(events)
    , deadline_header(std::move(header))
    , serve(std::move(on_request))
    , acceptor(events.context())
{
}

http_server::~http_server()
{
    this->stop();
}

void http_server::set_caller_limits(std::string listener_name,
                                    const caller_limits& changed,
                                    bool fixed_buffers)
{
    this->listener = std::move(listener_name);
    this->machine_limits = changed;
    this->small_buffers = fixed_buffers;
    this->budget.set_limits(changed);
}

bool http_server::listen(const std::string& address, std::uint16_t port)
{
    if (!open_acceptor(this->acceptor, address, port, listen_backlog))
    {
        return false;
    }
    if (this->small_buffers)
    {
        // Accepted connections inherit the sizes.
        boost::system::error_code ignored;
        this->acceptor.set_option(
            asio::socket_base::receive_buffer_size(small_buffer_bytes),
            ignored);
        this->acceptor.set_option(
            asio::socket_base::send_buffer_size(small_buffer_bytes), ignored);
    }
    this->accept();
    return true;
}

std::uint16_t http_server::port() const
{
    boost::system::error_code error;
    return this->acceptor.local_endpoint(error).port();
}

void http_server::accept()
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
                this->loop.after(accept_backoff, [this] { this->accept(); });
                return;
            }
            this->add_session(std::move(socket));
            this->accept();
        });
}

void http_server::add_session(tcp::socket socket)
{
    if (!this->make_place())
    {
        // Destroying the socket closes the connection.
        return;
    }
    const std::uint64_t number = this->next_session++;
    const auto added =
        std::make_shared<session>(*this, number, std::move(socket));
    this->sessions.emplace(number, added);
    this->budget.add(number, event_loop::now());
    added->begin();
    this->enforce_memory_limit();
}

bool http_server::make_place()
{
    if (this->budget.has_free_connection())
    {
        return true;
    }
    const auto victim = this->budget.idle_victim();
    if (!victim)
    {
        this->count_refusal("connections");
        return false;
    }
    this->count_refusal("idle_closed");
    const auto held = this->sessions.at(*victim);
    held->close();
    return true;
}

void http_server::enforce_memory_limit()
{
    while (const auto victim = this->budget.memory_victim(event_loop::now()))
    {
        this->count_refusal("memory_closed");
        const auto held = this->sessions.at(*victim);
        held->close();
    }
}

void http_server::count_refusal(const char* cause)
{
    ++this->refusal_counts[cause];
    if (cause == idle_timeout_cause)
    {
        // Ordinary callers leave connections idle.
        return;
    }
    const auto lines = this->refusal_log.count(cause, event_loop::now());
    if (lines)
    {
        LOG(INFO) << "callers: outside the limits; listener=" << this->listener
                  << " cause=" << cause << " count=" << *lines
                  << " connections=" << this->sessions.size()
                  << " held_bytes=" << this->held_bytes();
    }
}

void http_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto all = this->sessions;
    for (const auto& [number, each] : all)
    {
        each->close();
    }
}

} // namespace jujubedrum
