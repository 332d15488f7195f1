#include "pending_call.hpp"

#include "scenario_error.hpp"

#include <utility>

namespace jujubedrum
{

pending_call::pending_call(std::string target,
                           const scenario_http_request& request)
    : target_name(std::move(target))
    , sent_request(request)
    , result(std::async(std::launch::async,
                        [request] { return http_call(request); }))
{
}

nlohmann::json pending_call::body() const
{
    return scenario_http_reply{0, this->sent_request.body, false}.json();
}

const scenario_http_reply& pending_call::reply()
{
    if (this->result.wait_for(std::chrono::seconds(120)) !=
        std::future_status::ready)
    {
        throw scenario_error("no reply within 120 s to the request sent to " +
                             this->target_name);
    }
    return this->result.get();
}

bool pending_call::ended()
{
    return this->result.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
}

std::string pending_call::job_id()
{
    nlohmann::json source = this->body();
    // The reply is only waited for if the request did not set the id.
    if (!source.is_object() || !source.contains("id"))
    {
        source = this->reply().json();
    }
    if (source.is_object() && source.contains("id"))
    {
        return source["id"];
    }
    throw scenario_error("neither the request nor its reply holds a job id");
}

} // namespace jujubedrum
