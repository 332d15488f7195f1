#include "entry_client.hpp"

#include <algorithm>

#include <httplib.h>

namespace jujubedrum
{

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds connect_timeout(1000);
// Enough for the answers of a job of 690 tasks, 64 KiB each, with JSON escapes.
constexpr std::size_t max_reply_bytes = 128 * 1024 * 1024;

/// Returns whether the call failed before any of the request was sent.
bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

} // namespace

entry_client::entry_client(endpoint target, std::string token)
    : target(std::move(target))
    , token(std::move(token))
{
}

std::optional<entry_reply> entry_client::call(const std::string& method,
                                              const std::string& path,
                                              const std::string& body,
                                              std::chrono::milliseconds timeout,
                                              entry_reason& why)
{
    httplib::Client client(this->target.address, this->target.port);
    client.set_connection_timeout(std::min(connect_timeout, timeout));
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (!this->token.empty())
    {
        request.set_header("Authorization", "Bearer " + this->token);
    }
    if (method == "POST")
    {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    entry_reply reply;
    const auto deadline = steady::now() + timeout;
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        reply.text.append(data, size);
        return reply.text.size() <= max_reply_bytes && steady::now() < deadline;
    };
    const httplib::Result result = client.send(request);
    if (!result)
    {
        why = {never_sent(result.error()) ? entry_error::unreachable
                                          : entry_error::unanswered,
               method + " " + path, httplib::to_string(result.error())};
        return std::nullopt;
    }
    reply.status = result->status;
    reply.body = nlohmann::ordered_json::parse(reply.text, nullptr, false);
    if (reply.body.is_discarded())
    {
        reply.body = nullptr;
    }
    return reply;
}

} // namespace jujubedrum
