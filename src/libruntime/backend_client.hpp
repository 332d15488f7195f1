#pragma once

#include "base/time.hpp"
#include "engine/task_io.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>

namespace jujubedrum
{

/// HTTP client for the backend servers, with a pool of keep-alive connections.
/// Thread-safe. A connection carries one request at a time. After a missing,
/// late or truncated reply it is closed, so that a reply cannot be taken for
/// that of another request.
class backend_client
{
public:
    /// \param connect_timeout bound on connecting, on writing a request, and on
    /// the reply to `stop()`.
    explicit backend_client(milliseconds connect_timeout);

    /// Sends a task and blocks until its reply; `request.timeout` bounds each
    /// read of it. Never sends a task twice. The status of the result tells
    /// whether the task may have started.
    task_reply send(const task_request& request);

    /// Requests that a backend server stops a task. Errors are ignored, because
    /// the reply to the task decides its outcome.
    void stop(const std::string& address, int port, const std::string& task);

    /// Closes connections that have been idle for longer than `max_idle`.
    void close_idle();

    /// Maximum idle time of a pooled connection. Backend servers close idle
    /// connections after 5 s; closing earlier avoids writing a request to a
    /// connection that the server has closed already.
    static constexpr milliseconds max_idle{2000};

private:
    using clock = std::chrono::steady_clock;
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        clock::time_point idle_since;
    };

    std::unique_ptr<httplib::Client> acquire(const std::string& address,
                                             int port);
    void release(const std::string& address, int port,
                 std::unique_ptr<httplib::Client> client);

    milliseconds connect_timeout;
    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;
};

} // namespace jujubedrum
