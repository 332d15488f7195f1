#include "platform_client.hpp"

#include "platform_replies.hpp"

#include <httplib.h>

namespace jujubedrum
{

namespace
{

using steady = std::chrono::steady_clock;

// Bounds the memory that a faulty reply can use. A page of 1000 records of a
// few KB each is far smaller.
constexpr std::size_t max_reply_bytes = 64 * 1024 * 1024;

platform_error error_of(httplib::Error error)
{
    switch (error)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return platform_error::unreachable;
    default:
        return platform_error::timeout;
    }
}

// Only 4xx and 503 count as refusals: a 500, 502 or 504 of a gateway leaves
// open whether the call took effect.
platform_error error_of_status(int status)
{
    return status / 100 == 4 || status == 503 ? platform_error::refused
                                              : platform_error::timeout;
}

} // namespace

platform_client::platform_client(const std::string& address, std::uint16_t port,
                                 std::chrono::milliseconds connect_timeout,
                                 std::chrono::milliseconds reply_timeout)
    : reply_timeout(reply_timeout)
    , client(std::make_unique<httplib::Client>(address, port))
{
    this->client->set_connection_timeout(connect_timeout);
    this->client->set_write_timeout(reply_timeout);
    this->client->set_keep_alive(true);
    this->client->set_tcp_nodelay(true);
}

platform_client::~platform_client() = default;

std::optional<std::uint64_t> platform_client::append(const std::string& stream,
                                                     const std::string& record,
                                                     platform_reason& why)
{
    const std::string path = "/v1/streams/" + stream + "/records";
    const auto body = this->reply_body("POST", path, record,
                                       std::chrono::milliseconds(0), why);
    if (!body)
    {
        return std::nullopt;
    }
    const auto offset = parse_append_reply(*body);
    if (!offset)
    {
        why = {platform_error::malformed, "POST " + path,
               "the reply contains no offset"};
    }
    return offset;
}

std::optional<records_page>
platform_client::read(const std::string& stream, std::uint64_t from,
                      std::size_t max, std::chrono::milliseconds wait,
                      platform_reason& why)
{
    const std::string path = "/v1/streams/" + stream +
                             "/records?from=" + std::to_string(from) +
                             "&max=" + std::to_string(max) +
                             "&wait_ms=" + std::to_string(wait.count());
    const auto body = this->reply_body("GET", path, "", wait, why);
    if (!body)
    {
        return std::nullopt;
    }
    auto page = parse_records_page(*body);
    if (!page)
    {
        why = {platform_error::malformed, "GET " + path,
               "the reply is not a page of records"};
    }
    return page;
}

std::optional<instance_page> platform_client::instances(std::uint64_t since,
                                                        platform_reason& why)
{
    const std::string path = "/v1/instances?since=" + std::to_string(since);
    const auto body =
        this->reply_body("GET", path, "", std::chrono::milliseconds(0), why);
    if (!body)
    {
        return std::nullopt;
    }
    membership_reason malformed;
    auto page = parse_instance_page(*body, malformed);
    if (!page)
    {
        why = {platform_error::malformed, "GET " + path, malformed.message()};
    }
    return page;
}

void platform_client::stop()
{
    this->client->stop();
}

std::optional<std::string> platform_client::reply_body(
    const std::string& method, const std::string& path, const std::string& body,
    std::chrono::milliseconds wait, platform_reason& why)
{
    const auto total_timeout = wait + this->reply_timeout;
    // The library's timeout applies to each read. The receiver also checks the
    // total time, so that a slow reply cannot occupy the thread without bound.
    const auto deadline = steady::now() + total_timeout;
    this->client->set_read_timeout(total_timeout);
    std::string reply;
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (method == "POST")
    {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        reply.append(data, size);
        return reply.size() <= max_reply_bytes && steady::now() < deadline;
    };
    const httplib::Result result = this->client->send(request);
    if (!result)
    {
        why = {error_of(result.error()), method + " " + path,
               httplib::to_string(result.error())};
        return std::nullopt;
    }
    if (result->status / 100 != 2)
    {
        why = {error_of_status(result->status), method + " " + path,
               "HTTP status " + std::to_string(result->status)};
        return std::nullopt;
    }
    return reply;
}

} // namespace jujubedrum
