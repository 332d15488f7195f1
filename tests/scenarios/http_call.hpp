#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// One HTTP request of the runner.
struct scenario_http_request
{
    int port = 0;
    std::string method;
    std::string path;
    std::string body;
    /// Bearer token, or empty for none.
    std::string token;
};

/// Its reply; the status is 0 if none came within 90 s.
struct scenario_http_reply
{
    int status = 0;
    std::string body;
    /// Whether no connection was made, so that nothing was sent.
    bool refused = false;

    /// Returns the body as JSON, or null if it is none.
    [[nodiscard]] nlohmann::json json() const;
};

/// Sends the request on a connection of its own and waits for the reply.
scenario_http_reply http_call(const scenario_http_request& request);

} // namespace jujubedrum
