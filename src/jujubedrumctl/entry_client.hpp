#pragma once

#include "endpoint.hpp"
#include "entry_error.hpp"

#include <chrono>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Reply of an entry instance.
struct entry_reply
{
    int status = 0;
    std::string text;
    /// The text parsed as JSON; null if it is not valid JSON.
    nlohmann::ordered_json body;
};

/// HTTP client of an entry instance. Opens a connection for each call and does
/// not retry.
class entry_client
{
public:
    /// \param token bearer token; not sent if empty.
    entry_client(endpoint target, std::string token);

    /// Returns the reply to a request, whatever its status; nothing if the call
    /// failed or the reply is too large.
    /// \param timeout bound on the whole reply, and on connecting and sending.
    /// \param why set if nothing is returned.
    std::optional<entry_reply> call(const std::string& method,
                                    const std::string& path,
                                    const std::string& body,
                                    std::chrono::milliseconds timeout,
                                    entry_reason& why);

private:
    endpoint target;
    std::string token;
};

} // namespace jujubedrum
