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
    /// The text as JSON; null if it is none.
    nlohmann::ordered_json body;
};

/// HTTP client of an entry instance. Makes no retries.
class entry_client
{
public:
    /// \param token sent as a bearer token unless empty.
    entry_client(endpoint target, std::string token);

    /// Calls the instance and returns its reply, whatever the status.
    /// \param timeout limit for the whole reply.
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
