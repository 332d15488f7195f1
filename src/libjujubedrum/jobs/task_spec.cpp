#include "jobs/task_spec.hpp"

#include <utility>

namespace jujubedrum
{

task_spec::task_spec(std::string kind, std::string payload,
                     task_options specified, const task_options& team)
    : kind_value(std::move(kind))
    , payload_value(std::move(payload))
    , specified_values(specified)
    , memory_mb_value(specified.memory_mb.value_or(
          team.memory_mb.value_or(default_memory_mb)))
    , run_time_value(
          specified.run_time.value_or(team.run_time.value_or(default_run_time)))
    , repeatable_value(
          specified.repeatable.value_or(team.repeatable.value_or(false)))
{
}

std::string task_spec::to_json() const
{
    // The kind contains no character that must be escaped in JSON.
    std::string text = R"({"kind":")" + this->kind_value + R"(","payload":)" +
                       this->payload_value;
    if (this->specified_values.memory_mb)
    {
        text += R"(,"memory_mb":)" +
                std::to_string(*this->specified_values.memory_mb);
    }
    if (this->specified_values.run_time)
    {
        text += R"(,"run_ms":)" +
                std::to_string(this->specified_values.run_time->count());
    }
    if (this->specified_values.repeatable)
    {
        text += *this->specified_values.repeatable ? R"(,"repeatable":true)"
                                                   : R"(,"repeatable":false)";
    }
    return text + "}";
}

} // namespace jujubedrum
