#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// An HTTP request to a port of 127.0.0.1.
struct scenario_http_request
{
    int port = 0;
    std::string method;
    std::string path;
    std::string body;
    /// Bearer token, or empty for none.
    std::string token;
};

/// The reply to a request. The status is 0 if the request failed or no reply
/// was read within 90 s.
struct scenario_http_reply
{
    int status = 0;
    std::string body;
    /// Whether the connection could not be established, so that nothing was
    /// sent.
    bool refused = false;

    /// Returns the body as JSON, or null if it is not valid JSON.
    [[nodiscard]] nlohmann::json json() const;
};

/// Sends the request on a new connection and waits for the reply.
scenario_http_reply http_call(const scenario_http_request& request);

} // namespace jujubedrum
