#include "node/http_client.hpp"

#include "node/socket_options.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace jujubedrum
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// Maximum size of a reply's header, of a chunk line and of the trailers. The
/// parser waits for each as a whole and limits the first one only. Twice the
/// size of one read.
constexpr std::size_t max_unparsed_bytes = 131072;

std::string serialize_request(const http_call& call, const std::string& host)
{
    std::string text =
        call.method + " " + call.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : call.headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.body.empty() || call.method != "GET")
    {
        text += "Content-Type: " + call.content_type +
                "\r\nContent-Length: " + std::to_string(call.body.size()) +
                "\r\n";
    }
    return text + "\r\n" + call.body;
}

} // namespace

/// One connection. It processes one call at a time.
class http_client::connection
    : public std::enable_shared_from_this<http_client::connection>
{
public:
    connection(std::shared_ptr<http_client> client)
        : owner(std::move(client))
        , socket(this->owner->loop.context())
    {
    }

    void start_call(pending_call call)
    {
        this->current = std::move(call);
        this->sent = false;
        this->timer =
            this->owner->loop.after(this->current->deadline - event_loop::now(),
                                    [self = this->weak_from_this()]
                                    {
                                        if (const auto held = self.lock())
                                        {
                                            held->timer.reset();
                                            held->on_timeout();
                                        }
                                    });
        this->active_at = event_loop::now();
        if (this->current->request.on_silence)
        {
            this->watch_silence(this->current->request.silence_timeout);
        }
        if (this->socket.is_open())
        {
            this->send();
            return;
        }
        this->connect();
    }

    void close_socket()
    {
        this->current.reset();
        this->cancel_timers();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

private:
    void connect()
    {
        boost::system::error_code error;
        const auto address =
            asio::ip::make_address(this->owner->address, error);
        if (error)
        {
            this->fail("server address is not a numeric IP address");
            return;
        }
        ++this->owner->opened;
        this->connect_timer =
            this->owner->loop.after(connect_timeout,
                                    [self = this->weak_from_this()]
                                    {
                                        if (const auto held = self.lock())
                                        {
                                            held->connect_timer.reset();
                                            held->fail("connect timeout");
                                        }
                                    });
        this->socket.async_connect({address, this->owner->port},
                                   [self = this->shared_from_this()](
                                       const boost::system::error_code& failure)
                                   { self->on_connected(failure); });
    }

    void on_connected(const boost::system::error_code& failure)
    {
        if (this->connect_timer)
        {
            this->owner->loop.cancel(*this->connect_timer);
            this->connect_timer.reset();
        }
        if (failure)
        {
            this->fail(failure.message());
            return;
        }
        set_socket_options(this->socket);
        if (this->current && event_loop::now() < this->current->deadline)
        {
            this->send();
            return;
        }
        this->on_timeout();
        this->on_late();
    }

    void send()
    {
        this->sent = true;
        this->sent_at = event_loop::now();
        this->sample = this->current->request.replied_at_once;
        this->out = serialize_request(this->current->request,
                                      this->current->request.host.empty()
                                          ? this->owner->address
                                          : this->current->request.host);
        asio::async_write(
            this->socket, asio::buffer(this->out),
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t)
            {
                if (error)
                {
                    self->fail(error.message());
                }
            });
        this->parser.emplace();
        this->parser->body_limit(this->current->request.max_reply_bytes);
        this->parser->eager(true);
        this->read_some();
    }

    void read_some()
    {
        http::async_read_some(
            this->socket, this->buffer, *this->parser,
            [self = this->shared_from_this()](
                const boost::system::error_code& error, std::size_t)
            {
                self->active_at = event_loop::now();
                if (error || self->parser->is_done())
                {
                    self->on_reply(error);
                    return;
                }
                self->read_some();
            });
    }

    void watch_silence(microseconds delay)
    {
        this->silence_timer =
            this->owner->loop.after(delay,
                                    [self = this->weak_from_this()]
                                    {
                                        if (const auto held = self.lock())
                                        {
                                            held->silence_timer.reset();
                                            held->check_silence();
                                        }
                                    });
    }

    void check_silence()
    {
        if (!this->current)
        {
            return;
        }
        const microseconds limit = this->current->request.silence_timeout;
        const microseconds silent = event_loop::now() - this->active_at;
        if (silent < limit)
        {
            this->watch_silence(limit - silent);
            return;
        }
        const auto notify =
            std::exchange(this->current->request.on_silence, nullptr);
        notify();
    }

    void on_reply(const boost::system::error_code& error)
    {
        if (error)
        {
            this->fail(error.message());
            return;
        }
        this->cancel_timers();
        auto message = this->parser->release();
        if (this->sample)
        {
            this->owner->round_trip.add(event_loop::now() - this->sent_at);
        }
        if (!this->current)
        {
            this->on_late(message.keep_alive() && this->buffer.size() == 0);
            return;
        }
        http_reply reply{http_result::replied,
                         static_cast<int>(message.result_int()),
                         std::move(message.body()), ""};
        const callback done = std::move(this->current->done);
        this->current.reset();
        // Bytes beyond the reply would be taken for the reply to the next call.
        const bool keep = message.keep_alive() && this->buffer.size() == 0;
        if (!keep)
        {
            this->close_socket();
        }
        this->owner->release_connection(this->shared_from_this(), keep);
        done(std::move(reply));
    }

    /// The handshake or the reply arrived after the call had timed out.
    void on_late(bool keep = true)
    {
        this->cancel_timers();
        if (!keep)
        {
            this->close_socket();
        }
        this->owner->release_connection(this->shared_from_this(), keep);
    }

    /// Completes the call without a reply and awaits the late reply.
    void on_timeout()
    {
        if (!this->current)
        {
            return;
        }
        const callback done = std::move(this->current->done);
        this->current.reset();
        this->timer =
            this->owner->loop.after(late_reply_timeout,
                                    [self = this->weak_from_this()]
                                    {
                                        if (const auto held = self.lock())
                                        {
                                            held->timer.reset();
                                            held->fail("no late reply");
                                        }
                                    });
        this->owner->set_late(this->shared_from_this());
        this->report(done, "timeout");
    }

    /// Closes the connection, and completes its call without a reply.
    void fail(const std::string& why)
    {
        const callback done =
            this->current ? std::move(this->current->done) : nullptr;
        this->close_socket();
        this->owner->release_connection(this->shared_from_this(), false);
        if (done)
        {
            this->report(done, why);
        }
    }

    void report(const callback& done, const std::string& why)
    {
        this->owner->report(
            done, this->sent ? http_result::no_reply : http_result::not_sent,
            why);
    }

    void cancel_timers()
    {
        for (auto* pending :
             {&this->timer, &this->connect_timer, &this->silence_timer})
        {
            if (*pending)
            {
                this->owner->loop.cancel(**pending);
                pending->reset();
            }
        }
    }

    std::shared_ptr<http_client> owner;
    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<pending_call> current;
    std::string out;
    bool sent = false;
    bool sample = false; ///< of the round-trip time
    instant sent_at{0};
    std::optional<event_loop::timer_id> timer;
    std::optional<event_loop::timer_id> connect_timer;
    instant active_at{0}; ///< when the call was started or bytes arrived
    std::optional<event_loop::timer_id> silence_timer;
};

std::shared_ptr<http_client> http_client::create(event_loop& loop,
                                                 std::string address,
                                                 std::uint16_t port,
                                                 std::size_t max_connections)
{
    return std::shared_ptr<http_client>(
        new http_client(loop, std::move(address), port, max_connections));
}

http_client::http_client(event_loop& events, std::string host,
                         std::uint16_t number, std::size_t connection_limit)
    : loop(events)
    , address(std::move(host))
    , port(number)
    , max_connections(connection_limit)
{
}

void http_client::call(http_call request, callback done)
{
    const instant deadline = event_loop::now() + request.timeout;
    this->waiting.push_back({std::move(request), std::move(done), deadline});
    this->dispatch();
    if (!this->waiting.empty())
    {
        this->loop.after(deadline - event_loop::now(),
                         [self = this->weak_from_this()]
                         {
                             if (const auto held = self.lock())
                             {
                                 held->expire_waiting();
                             }
                         });
    }
}

void http_client::expire_waiting()
{
    const instant now = event_loop::now();
    std::erase_if(this->waiting,
                  [this, now](const pending_call& call)
                  {
                      const bool expired = call.deadline <= now;
                      if (expired)
                      {
                          this->report(call.done, http_result::not_sent,
                                       "timeout");
                      }
                      return expired;
                  });
}

void http_client::report(const callback& done, http_result result,
                         const std::string& why)
{
    asio::post(this->loop.context(),
               [client = this->shared_from_this(), done, result, why]
               {
                   if (!client->closed)
                   {
                       done({result, 0, "", why});
                   }
               });
}

void http_client::dispatch()
{
    this->expire_waiting();
    while (!this->closed && !this->waiting.empty())
    {
        if (this->waiting.front().request.new_connection)
        {
            this->close_idle();
        }
        std::shared_ptr<connection> conn;
        if (!this->idle.empty())
        {
            conn = this->idle.back();
            this->idle.pop_back();
        }
        else if (this->busy.size() < this->max_connections)
        {
            conn = std::make_shared<connection>(this->shared_from_this());
        }
        else
        {
            return;
        }
        this->busy.push_back(conn);
        pending_call next = std::move(this->waiting.front());
        this->waiting.pop_front();
        conn->start_call(std::move(next));
    }
}

void http_client::close_idle()
{
    for (const auto& conn : this->idle)
    {
        conn->close_socket();
    }
    this->idle.clear();
}

void http_client::release_connection(const std::shared_ptr<connection>& conn,
                                     bool reusable)
{
    std::erase(this->busy, conn);
    std::erase(this->late, conn);
    if (reusable && !this->closed)
    {
        this->idle.push_back(conn);
    }
    this->dispatch();
}

void http_client::set_late(const std::shared_ptr<connection>& conn)
{
    std::erase(this->busy, conn);
    this->late.push_back(conn);
    if (this->late.size() > max_late_connections)
    {
        const auto oldest = this->late.front();
        this->late.erase(this->late.begin());
        oldest->close_socket();
    }
    this->dispatch();
}

void http_client::close()
{
    this->closed = true;
    this->waiting.clear();
    for (auto* list : {&this->busy, &this->idle, &this->late})
    {
        for (const auto& conn : *list)
        {
            conn->close_socket();
        }
        list->clear();
    }
}

} // namespace jujubedrum
