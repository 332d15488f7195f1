#pragma once

#include "base/time.hpp"
#include "dispatch/round_trip_estimator.hpp"
#include "node/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubedrum
{

/// A request to a server outside this system.
struct http_call
{
    std::string method = "GET";
    std::string target;
    std::string host; ///< value of the Host header; empty: the address
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string content_type = "application/json";
    milliseconds timeout{1000}; ///< from the call to the end of the reply
    /// Maximum size of the reply's body. A page of the store holds at most 1
    /// MB, which grows by a third in base64.
    std::size_t max_reply_bytes = 4U << 20U;
    /// The server replies at once, so that the time of its reply is a sample of
    /// the round-trip time.
    bool replied_at_once = false;
    /// Called once if the connection receives nothing for `silence_timeout`
    /// after the call was started or after the last bytes of its reply. The
    /// call goes on. May be unset.
    std::function<void()> on_silence;
    milliseconds silence_timeout{0};
    /// Opens a new connection and closes the idle ones, which may have gone
    /// silent with the one of an earlier call.
    bool new_connection = false;
};

/// Whether a call got a reply and, if not, whether it was sent.
enum class http_result
{
    replied,
    not_sent, ///< no connection; the server received nothing
    no_reply, ///< the server may have processed the request
};

struct http_reply
{
    http_result result = http_result::not_sent;
    int status = 0;
    std::string body;
    std::string error; ///< why there is no reply
};

/// HTTP/1.1 client of one server, on the event loop. It keeps connections open
/// and opens a further one, up to a maximum, only while all are in use. Calls
/// beyond the maximum wait, which counts towards their time-out; a call whose
/// time is over before it could be sent is not sent. It does not retry.
///
/// A connection whose call timed out stays open for a while. If the link is
/// only full, its handshake or reply still arrives, and the connection serves
/// later calls; a new one would add to the load.
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    using callback = std::function<void(http_reply)>;

    static constexpr milliseconds connect_timeout{400};
    /// A reply that is later than this after its call timed out is not awaited.
    static constexpr milliseconds late_reply_timeout{1000};
    /// Connections that may wait for late replies; each is in addition to those
    /// in use.
    static constexpr std::size_t max_late_connections = 4;

    static std::shared_ptr<http_client> create(event_loop& loop,
                                               std::string address,
                                               std::uint16_t port,
                                               std::size_t max_connections);

    /// Sends the call; the callback runs later, never inside this function.
    void call(http_call request, callback done);
    /// Aborts all calls; their callbacks are not called any more.
    void close();
    [[nodiscard]] std::uint64_t connections_opened() const
    {
        return this->opened;
    }
    /// Returns the estimate from calls that were replied to at once.
    [[nodiscard]] const round_trip_estimator& round_trips() const
    {
        return this->round_trip;
    }

private:
    class connection;
    struct pending_call
    {
        http_call request;
        callback done;
        instant deadline;
    };

    http_client(event_loop& loop, std::string address, std::uint16_t port,
                std::size_t max_connections);
    void dispatch();
    void close_idle();
    /// Completes the waiting calls whose time is over as not sent.
    void expire_waiting();
    /// Calls back later with a result without a reply, unless closed by then.
    void report(const callback& done, http_result result,
                const std::string& why);
    void release_connection(const std::shared_ptr<connection>& conn,
                            bool reusable);
    /// Keeps a connection whose call timed out until its late reply.
    void set_late(const std::shared_ptr<connection>& conn);

    event_loop& loop;
    std::string address;
    std::uint16_t port;
    std::size_t max_connections;
    std::deque<pending_call> waiting;
    std::vector<std::shared_ptr<connection>> idle;
    std::vector<std::shared_ptr<connection>> busy;
    std::vector<std::shared_ptr<connection>> late; ///< oldest first
    round_trip_estimator round_trip;
    std::uint64_t opened = 0;
    bool closed = false;
};

} // namespace jujubedrum
