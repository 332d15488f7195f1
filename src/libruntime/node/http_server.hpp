#pragma once

#include "dispatch/route_table.hpp"
#include "node/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace jujubedrum
{

/// A request from a caller.
struct http_request
{
    std::string method;
    std::string target;
    std::string host;
    std::string deadline; ///< value of the deadline header; may be empty
    std::string body;
};

struct http_answer
{
    int status = 200;
    std::string body;
    milliseconds retry_after{0}; ///< 0: no such header
    std::string content_type = "application/json";
};

/// Answers one request, at any time. Has no effect once the caller has
/// disconnected.
class http_responder
{
public:
    virtual ~http_responder() = default;
    virtual void answer(const http_answer& answer) = 0;
    /// Sets a function that is called if the caller disconnects before the
    /// answer.
    virtual void on_disconnect(std::function<void()> function) = 0;
};

/// HTTP/1.1 server on the event loop. Connections need no thread, so slow and
/// idle callers do not block others.
class http_server
{
public:
    using handler =
        std::function<void(http_request, std::shared_ptr<http_responder>)>;

    /// \param deadline_header name of the header passed on as `deadline`.
    http_server(event_loop& loop, std::string deadline_header, handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on a numeric address. Returns false if that fails.
    bool listen(const std::string& address, std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const;
    void set_limits(const request_limits& changed) { this->limits = changed; }
    /// Closes each connection after its next answer, so that callers move to
    /// other instances without losing a request.
    void drain() { this->draining = true; }
    /// Closes all connections.
    void stop();
    [[nodiscard]] std::size_t open_requests() const
    {
        return this->active_requests;
    }
    [[nodiscard]] std::size_t connections() const
    {
        return this->sessions.size();
    }

private:
    class session;

    void accept();

    loop_scope loop;
    std::string deadline_header;
    handler serve;
    request_limits limits;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t active_requests = 0;
    bool draining = false;
};

} // namespace jujubedrum
