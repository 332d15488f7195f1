#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Request to run a task, with the simulated behaviour that its payload
/// specifies.
struct standin_task
{
    std::string task;
    std::string kind;
    std::string payload;
    long long memory_mb = 0;
    /// Declared reference run time.
    double run_ms = 0;
    /// Maximum run time, or 0 for no limit.
    long long lease_ms = 0;
    /// Actual reference run time: "actual_ms" of a payload that is a JSON
    /// object, otherwise the declared one.
    double actual_ms = 0;
    /// Whether the task fails at its end, from "fail" in the payload.
    bool fail = false;
    /// Memory actually used, from "use_memory_mb" in the payload.
    long long use_memory_mb = 0;

    /// Parses the body of a request. Returns nothing if "task" or "kind" is
    /// missing or a field has the wrong type or is negative.
    static std::optional<standin_task> parse(const nlohmann::json& body);
    /// Returns "<kind>:<payload>". A payload longer than 256 bytes is replaced
    /// by its SHA-256 digest in hexadecimal.
    [[nodiscard]] std::string result() const;
};

} // namespace jujubedrum
