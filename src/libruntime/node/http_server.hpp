#pragma once

#include "dispatch/caller_budget.hpp"
#include "dispatch/caller_limits.hpp"
#include "dispatch/route_table.hpp"
#include "log_limiter.hpp"
#include "node/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
///
/// A connection gets one request at a time. While it is served or its answer is
/// written, at most one read buffer of further bytes is read, so that a caller
/// that pipelines requests or leaves answers unread holds no more than one
/// request. A `caller_budget` limits what all connections hold together.
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
    /// Sets the limits of the machine.
    /// \param listener name in log lines and metrics.
    /// \param small_buffers the kernel's buffers of each connection get a fixed
    /// size; affects listeners that are opened later.
    void set_caller_limits(std::string listener, const caller_limits& changed,
                           bool small_buffers);
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
    [[nodiscard]] const std::string& name() const { return this->listener; }
    /// Returns the memory that is accounted to all connections.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return this->budget.total_bytes();
    }
    /// Returns the number of connections closed and requests refused, by cause.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& refusals() const
    {
        return this->refusal_counts;
    }

private:
    class session;

    void accept();
    void add_session(boost::asio::ip::tcp::socket socket);
    /// Returns whether a connection may be added, after closing an idle one if
    /// there are too many.
    bool make_place();
    /// Closes connections until the memory is below its limit.
    void enforce_memory_limit();
    /// Counts a closed connection or refused request, and logs it at most once
    /// in 10 s for each cause.
    void count_refusal(const char* cause);

    loop_scope loop;
    std::string deadline_header;
    handler serve;
    request_limits limits;
    boost::asio::ip::tcp::acceptor acceptor;
    std::map<std::uint64_t, std::shared_ptr<session>> sessions;
    std::uint64_t next_session = 1;
    std::string listener = "http";
    caller_limits machine_limits;
    bool small_buffers = false;
    caller_budget budget;
    std::map<std::string, std::uint64_t> refusal_counts;
    log_limiter refusal_log;
    std::size_t active_requests = 0;
    bool draining = false;
};

} // namespace jujubedrum
