#pragma once

#include "common/standin_server.hpp"
#include "platform/append_rate_limiter.hpp"
#include "platform/instance_list.hpp"
#include "platform/platform_faults.hpp"
#include "platform/platform_options.hpp"
#include "platform/record_log.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace jujubedrum
{

/// Stand-in for the platform's log service and instance list, with an HTTP
/// API under /v1 and fault injection under /control.
class platform_server : public standin_server
{
public:
    explicit platform_server(const platform_options& options);

    /// Ends all delays and long polls and closes the server.
    void shut_down();

private:
    void append(const httplib::Request& request, httplib::Response& response);
    void read(const httplib::Request& request, httplib::Response& response);
    void list(const httplib::Request& request, httplib::Response& response);
    void put_instance(const httplib::Request& request,
                      httplib::Response& response);
    void put_view(const httplib::Request& request, httplib::Response& response);
    void set_faults(const httplib::Request& request,
                    httplib::Response& response);
    void counts(httplib::Response& response);
    record_log& stream(const std::string& name);
    /// Waits for a time, or until the server stops. Releases the lock
    /// meanwhile.
    void apply_delay(std::unique_lock<std::mutex>& lock, microseconds time);
    /// Decrements the number of faults left. Returns false if it is 0.
    bool consume_fault(long long& count);

    const platform_options options;
    std::mutex state_mutex;
    std::condition_variable changed;
    append_rate_limiter append_limiter;
    std::map<std::string, record_log> streams;
    instance_list instances;
    /// Fields that replace those of the listed instances in replies to one
    /// client; by the client's IP address, then by instance name.
    std::map<std::string, nlohmann::json> views;
    platform_faults faults;
    bool stopping = false;
    long long appends = 0;
    long long refused_appends = 0;
    long long reads = 0;
    long long list_reads = 0;
};

} // namespace jujubedrum
