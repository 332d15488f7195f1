#include "backend_client.hpp"

#include "jobs/json_text.hpp"

#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

std::string connection_key(const std::string& address, int port)
{
    return address + ":" + std::to_string(port);
}

std::string to_body(const task_request& request)
{
    std::string body = json{{"task", request.task},
                            {"kind", request.kind},
                            {"memory_mb", request.memory_mb},
                            {"run_ms", request.run_time.count()},
                            {"lease_ms", request.timeout.count()}}
                           .dump();
    // The payload is JSON already. It is inserted as text, because parsing and
    // serialising it again would cost processor time for each task.
    body.pop_back();
    return body + ",\"payload\":" + request.payload + "}";
}

bool failed_before_sending(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

task_reply failure(send_status status, std::string error)
{
    task_reply reply;
    reply.status = status;
    reply.error = std::move(error);
    return reply;
}

/// Returns whether the body is known to be complete. cpp-httplib reports a
/// connection closed inside a body of known length as an error, but takes the
/// close for the end of a body that has neither a length nor chunks.
bool is_complete(const httplib::Response& response)
{
    return response.has_header("Content-Length") ||
           response.get_header_value("Transfer-Encoding") == "chunked";
}

/// Nesting depth of a result, as of a payload, and the object around it.
/// Serialising recurses once for each level.
constexpr std::size_t max_reply_depth = 65;
/// Longer run times are of no use as an observation.
constexpr double max_run_ms = 1e12;

task_reply parse_result(const task_request& request,
                        const httplib::Response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!is_complete(response) || !body.is_object() || !body.contains("task") ||
        body["task"] != request.task || !body.contains("result"))
    {
        return failure(send_status::unknown, "reply is incomplete");
    }
    if (nesting_depth(response.body) > max_reply_depth)
    {
        return failure(send_status::task_failed,
                       "result is nested deeper than 64 levels");
    }
    task_reply reply;
    reply.status = send_status::answered;
    reply.result = body["result"].dump();
    const auto run_ms = body.find("run_ms");
    const double value = run_ms != body.end() && run_ms->is_number()
                             ? run_ms->get<double>()
                             : 0.0;
    if (value > 0 && value <= max_run_ms)
    {
        reply.run_time = microseconds(static_cast<std::int64_t>(value * 1e3));
    }
    return reply;
}

task_reply parse_response(const task_request& request,
                          const httplib::Response& response)
{
    if (response.status == 200)
    {
        return parse_result(request, response);
    }
    const bool draining = response.status == 503 &&
                          response.body.find("draining") != std::string::npos;
    const std::string text = "HTTP status " + std::to_string(response.status);
    const bool not_started = response.get_header_value("Task-Started") == "no";
    task_reply reply = failure(not_started ? send_status::not_started
                                           : send_status::task_failed,
                               text);
    reply.draining = draining;
    return reply;
}

} // namespace

backend_client::backend_client(milliseconds timeout)
    : connect_timeout(timeout)
{
}

task_reply backend_client::send(const task_request& request)
{
    auto client = this->acquire(request.address, request.port);
    client->set_read_timeout(request.timeout);
    const auto result = client->Post("/v1/tasks", httplib::Headers{},
                                     to_body(request), "application/json");
    if (!result)
    {
        const bool not_started = failed_before_sending(result.error());
        return failure(not_started ? send_status::not_started
                                   : send_status::unknown,
                       httplib::to_string(result.error()));
    }
    task_reply reply = parse_response(request, *result);
    const bool server_closes =
        result->get_header_value("Connection") == "close";
    if (reply.status != send_status::unknown && !server_closes)
    {
        this->release(request.address, request.port, std::move(client));
    }
    return reply;
}

void backend_client::stop(const std::string& address, int port,
                          const std::string& task)
{
    auto client = this->acquire(address, port);
    client->set_read_timeout(this->connect_timeout);
    if (client->Delete("/v1/tasks/" + task))
    {
        this->release(address, port, std::move(client));
    }
}

void backend_client::close_idle()
{
    std::vector<idle_connection> expired;
    const auto idle_cutoff = clock::now() - max_idle;
    const std::lock_guard lock(this->mutex);
    for (auto& [key, connections] : this->idle)
    {
        // Connections are in the order of release, so the expired ones come
        // first.
        std::size_t expired_count = 0;
        while (expired_count < connections.size() &&
               connections[expired_count].idle_since < idle_cutoff)
        {
            expired.push_back(std::move(connections[expired_count]));
            ++expired_count;
        }
        connections.erase(connections.begin(),
                          connections.begin() +
                              static_cast<std::ptrdiff_t>(expired_count));
    }
}

std::unique_ptr<httplib::Client>
backend_client::acquire(const std::string& address, int port)
{
    {
        const std::lock_guard lock(this->mutex);
        auto& connections = this->idle[connection_key(address, port)];
        if (!connections.empty())
        {
            idle_connection newest = std::move(connections.back());
            connections.pop_back();
            if (clock::now() - newest.idle_since < max_idle)
            {
                return std::move(newest.client);
            }
        }
    }
    auto client = std::make_unique<httplib::Client>(address, port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_follow_location(false);
    client->set_connection_timeout(this->connect_timeout);
    client->set_write_timeout(this->connect_timeout);
    return client;
}

void backend_client::release(const std::string& address, int port,
                             std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(this->mutex);
    this->idle[connection_key(address, port)].push_back(
        {std::move(client), clock::now()});
}

} // namespace jujubedrum
