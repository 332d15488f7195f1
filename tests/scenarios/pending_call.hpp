#pragma once

#include "http_call.hpp"

#include <future>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// A request sent in the background by one step, whose reply later steps may
/// examine.
class pending_call
{
public:
    /// Sends the request in the background.
    pending_call(std::string target, const scenario_http_request& request);

    /// Returns the name of the process that the request was sent to.
    [[nodiscard]] const std::string& target() const
    {
        return this->target_name;
    }
    [[nodiscard]] const scenario_http_request& request() const
    {
        return this->sent_request;
    }
    /// Returns the request's body as JSON, or null if it is not valid JSON.
    [[nodiscard]] nlohmann::json body() const;
    /// Waits for the reply; throws scenario_error after 120 s.
    const scenario_http_reply& reply();
    /// Returns whether the reply has arrived or the request has failed.
    bool ended();
    /// Returns the job id in the request or, if it holds none, waits for the
    /// reply and returns the id in it. Throws scenario_error if neither has
    /// one.
    std::string job_id();

private:
    std::string target_name;
    scenario_http_request sent_request;
    std::shared_future<scenario_http_reply> result;
};

} // namespace jujubedrum
