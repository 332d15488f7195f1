#pragma once

#include "http_call.hpp"

#include <future>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// A request that a step sent and whose reply a later step may examine.
class pending_call
{
public:
    /// Sends the request in the background.
    pending_call(std::string target, const scenario_http_request& request);

    /// Returns the name of the process that was asked.
    [[nodiscard]] const std::string& target() const
    {
        return this->target_name;
    }
    [[nodiscard]] const scenario_http_request& request() const
    {
        return this->sent_request;
    }
    /// Returns the request's body as JSON, or null.
    [[nodiscard]] nlohmann::json body() const;
    /// Waits for the end of the call; throws scenario_error after 120 s.
    const scenario_http_reply& reply();
    /// Returns whether the call has ended.
    bool ended();
    /// Returns the job id of the request or, without one, of the reply.
    std::string job_id();

private:
    std::string target_name;
    scenario_http_request sent_request;
    std::shared_future<scenario_http_reply> result;
};

} // namespace jujubedrum
