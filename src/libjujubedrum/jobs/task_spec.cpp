#include "jobs/task_spec.hpp"

#include <utility>

namespace jujubedrum
{

task_spec::task_spec(std::string kind, std::string payload, kind_default stated,
                     const kind_default& team)
    : kind_value(std::move(kind))
    , payload_value(std::move(payload))
    , stated_values(stated)
    , memory(
          stated.memory_mb.value_or(team.memory_mb.value_or(default_memory_mb)))
    , run(stated.run_time.value_or(team.run_time.value_or(default_run_time)))
    , repeat(stated.repeatable.value_or(team.repeatable.value_or(false)))
{
}

std::string task_spec::to_json() const
{
    // The kind has no character that JSON escapes.
    std::string text = R"({"kind":")" + this->kind_value + R"(","payload":)" +
                       this->payload_value;
    if (this->stated_values.memory_mb)
    {
        text +=
            R"(,"memory_mb":)" + std::to_string(*this->stated_values.memory_mb);
    }
    if (this->stated_values.run_time)
    {
        text += R"(,"run_ms":)" +
                std::to_string(this->stated_values.run_time->count());
    }
    if (this->stated_values.repeatable)
    {
        text += *this->stated_values.repeatable ? R"(,"repeatable":true)"
                                                : R"(,"repeatable":false)";
    }
    return text + "}";
}

} // namespace jujubedrum
