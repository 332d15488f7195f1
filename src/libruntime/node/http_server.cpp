#include "node/http_server.hpp"

#include "node/socket_options.hpp"

#include <cmath>
#include <optional>

#include <boost/asio/write.hpp>
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
    session(http_server& server, tcp::socket connection)
        : owner(server)
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
        const bool keep = this->keep_alive && !this->owner.draining;
        this->finish_serving();
        this->out = serialize_answer(value, keep);
        asio::async_write(
            this->socket, asio::buffer(this->out),
            [self = this->shared_from_this(),
             keep](const boost::system::error_code& error, std::size_t)
            {
                if (error || !keep)
                {
                    self->close();
                    return;
                }
                self->await_request();
            });
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
        this->owner.sessions.erase(this->shared_from_this());
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

    void await_request()
    {
        this->out.clear();
        this->parser.emplace();
        this->parser->header_limit(
            static_cast<std::uint32_t>(this->owner.limits.header_bytes));
        this->parser->body_limit(this->owner.limits.body_bytes);
        this->parsing = false;
        this->set_timer(this->owner.limits.idle_timeout);
        if (this->buffer.size() > 0)
        {
            this->parse();
            return;
        }
        this->read();
    }

    void read()
    {
        if (this->reading || this->closed)
        {
            return;
        }
        this->reading = true;
        // Many callers that send slowly must not take up large buffers.
        constexpr std::size_t chunk = 4096;
        this->socket.async_read_some(
            this->buffer.prepare(chunk),
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
        if (this->serving || !this->out.empty())
        {
            // A pipelined request waits for the answer to the previous one. The
            // read ahead is only needed to detect that the caller disconnected.
            if (this->buffer.size() < this->owner.limits.body_bytes)
            {
                this->read();
            }
            return;
        }
        this->parse();
    }

    void parse()
    {
        if (!this->parsing)
        {
            this->parsing = true;
            this->set_timer(this->owner.limits.header_timeout);
        }
        while (this->buffer.size() > 0 && !this->parser->is_done())
        {
            boost::system::error_code error;
            this->parser->eager(true);
            const std::size_t used =
                this->parser->put(this->buffer.data(), error);
            this->buffer.consume(used);
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
        if (!this->parser->is_done())
        {
            this->read();
            return;
        }
        this->serve();
    }

    void refuse(const boost::system::error_code& error)
    {
        int status = 400;
        if (error == http::error::header_limit)
        {
            status = 431;
        }
        else if (error == http::error::body_limit)
        {
            status = 413;
        }
        this->begin_serving(false);
        this->answer(this->request_number, {status, "", milliseconds(0)});
    }

    void begin_serving(bool keep)
    {
        this->cancel_timer();
        this->keep_alive = keep;
        this->serving = true;
        ++this->request_number;
        ++this->owner.active_requests;
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
        auto message = this->parser->release();
        this->begin_serving(message.keep_alive());
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.deadline = std::string(message[this->owner.deadline_header]);
        request.body = std::move(message.body());
        this->read();
        this->owner.serve(std::move(request),
                          std::make_shared<responder>(this->weak_from_this(),
                                                      this->request_number));
    }

    void set_timer(milliseconds delay)
    {
        this->cancel_timer();
        this->timer =
            this->owner.loop.after(delay,
                                   [self = this->weak_from_this()]
                                   {
                                       if (const auto held = self.lock())
                                       {
                                           held->timer.reset();
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
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::string out;
    std::function<void()> disconnect_handler;
    std::optional<event_loop::timer_id> timer;
    std::uint64_t request_number = 0;
    bool parsing = false;
    bool reading = false;
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

bool http_server::listen(const std::string& address, std::uint16_t port)
{
    if (!open_acceptor(this->acceptor, address, port, listen_backlog))
    {
        return false;
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
            const auto added =
                std::make_shared<session>(*this, std::move(socket));
            this->sessions.insert(added);
            added->begin();
            this->accept();
        });
}

void http_server::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    const auto all = this->sessions;
    for (const auto& each : all)
    {
        each->close();
    }
}

} // namespace jujubedrum
