#include "engine/api_reply.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

using nlohmann::json;

std::string text_member(const json& object, const char* key)
{
    const auto at = object.find(key);
    return at != object.end() && at->is_string() ? at->get<std::string>() : "";
}

} // namespace

api_reply::api_reply(std::string id, outcome result)
    : job_id(std::move(id))
    , value(std::move(result))
{
}

api_reply::api_reply(api_error error)
    : value(std::move(error))
{
}

std::optional<api_reply> api_reply::parse(std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return std::nullopt;
    }
    const auto error = parsed.find("error");
    if (error != parsed.end() && error->is_object())
    {
        const auto status = error->find("status");
        if (status == error->end() || !status->is_number_integer())
        {
            return std::nullopt;
        }
        return api_reply(api_error{status->get<int>(),
                                   text_member(*error, "code"),
                                   text_member(*error, "text")});
    }
    job_reason why;
    auto result = outcome::from_json(body, why);
    if (!result)
    {
        return std::nullopt;
    }
    return api_reply(text_member(parsed, "id"), std::move(*result));
}

const outcome* api_reply::result() const
{
    return std::get_if<outcome>(&this->value);
}

const api_error* api_reply::error() const
{
    return std::get_if<api_error>(&this->value);
}

int api_reply::status() const
{
    const api_error* fault = this->error();
    return fault != nullptr ? fault->status : this->result()->http_status();
}

std::string api_reply::body() const
{
    const api_error* fault = this->error();
    if (fault == nullptr)
    {
        return this->result()->to_json(this->job_id);
    }
    return json{{"error",
                 {{"status", fault->status},
                  {"code", fault->code},
                  {"text", fault->text}}}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace jujubedrum
