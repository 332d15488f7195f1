#include "backend/standin_task.hpp"

#include "base/hash.hpp"

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_echo_bytes = 256;

bool is_optional_number(const nlohmann::json& body, const char* name)
{
    const auto field = body.find(name);
    return field == body.end() || (field->is_number() && *field >= 0);
}

bool has_string(const nlohmann::json& body, const char* name)
{
    const auto field = body.find(name);
    return field != body.end() && field->is_string();
}

void read_behaviour(const nlohmann::json& payload, standin_task& request)
{
    if (!payload.is_object() || !is_optional_number(payload, "actual_ms") ||
        !is_optional_number(payload, "use_memory_mb"))
    {
        return;
    }
    request.actual_ms = payload.value("actual_ms", request.run_ms);
    request.use_memory_mb =
        payload.value("use_memory_mb", request.use_memory_mb);
    const auto fail = payload.find("fail");
    request.fail = fail != payload.end() && *fail == true;
}

} // namespace

std::optional<standin_task> standin_task::parse(const nlohmann::json& body)
{
    if (!has_string(body, "task") || !has_string(body, "kind") ||
        !is_optional_number(body, "memory_mb") ||
        !is_optional_number(body, "run_ms") ||
        !is_optional_number(body, "lease_ms"))
    {
        return std::nullopt;
    }
    standin_task result;
    result.task = body["task"];
    result.kind = body["kind"];
    result.memory_mb = body.value("memory_mb", 0LL);
    result.run_ms = body.value("run_ms", 0.0);
    result.lease_ms = body.value("lease_ms", 0LL);
    result.actual_ms = result.run_ms;
    const nlohmann::json payload = body.value("payload", nlohmann::json(""));
    result.payload =
        payload.is_string() ? payload.get<std::string>() : payload.dump();
    if (result.payload.starts_with('{'))
    {
        read_behaviour(nlohmann::json::parse(result.payload, nullptr, false),
                       result);
    }
    return result;
}

std::string standin_task::result() const
{
    return this->kind + ':' +
           (this->payload.size() <= max_echo_bytes ? this->payload
                                                   : sha256_hex(this->payload));
}

} // namespace jujubedrum
