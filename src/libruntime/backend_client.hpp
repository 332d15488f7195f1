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

/// Sends tasks to backend servers over kept HTTP connections. Thread-safe.
/// A connection carries one request at a time. After a missing, late or short
/// reply it is closed, so that no answer can reach another request.
class backend_client
{
public:
    explicit backend_client(milliseconds connect_timeout);

    /// Sends a task and waits for its reply. Never sends a task twice.
    task_reply send(const task_request& request);

    /// Asks the backend server to stop a task. Errors are ignored, because the
    /// task's own reply decides its outcome.
    void stop(const std::string& address, int port, const std::string& task);

    /// Closes connections that have been idle for `max_idle` or longer.
    void close_idle();

    /// Longest idle time of a kept connection. Backend servers close idle
    /// connections after 5 s; closing first means that a stale connection is
    /// not found only after a request was written to it.
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
