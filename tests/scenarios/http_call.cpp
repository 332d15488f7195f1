#include "http_call.hpp"

#include <httplib.h>

namespace jujubedrum
{

namespace
{

constexpr std::chrono::seconds reply_timeout(90);

} // namespace

nlohmann::json scenario_http_reply::json() const
{
    auto value = nlohmann::json::parse(this->body, nullptr, false);
    return value.is_discarded() ? nlohmann::json() : value;
}

scenario_http_reply http_call(const scenario_http_request& request)
{
    httplib::Client client("127.0.0.1", request.port);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(reply_timeout);
    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.body = request.body;
    if (!request.body.empty())
    {
        message.set_header("Content-Type", "application/json");
    }
    if (!request.token.empty())
    {
        message.set_header("Authorization", "Bearer " + request.token);
    }
    const httplib::Result result = client.send(message);
    if (!result)
    {
        return {0, "", result.error() == httplib::Error::Connection};
    }
    return {result->status, result->body, false};
}

} // namespace jujubedrum
