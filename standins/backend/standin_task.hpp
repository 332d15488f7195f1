#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Body of a request to run a task, with the behaviour its payload asks for.
struct standin_task
{
    std::string task;
    std::string kind;
    std::string payload;
    long long memory_mb = 0;
    /// Declared reference run time in ms.
    double run_ms = 0;
    /// Longest run time in ms, or 0 for no limit.
    long long lease_ms = 0;
    /// Real reference run time in ms; the declared one unless the payload is a
    /// JSON object with "actual_ms".
    double actual_ms = 0;
    /// The payload has "fail": true.
    bool fail = false;
    /// Memory really used, from "use_memory_mb" in the payload.
    long long use_memory_mb = 0;

    /// Reads the request, or returns nothing if a field is missing or wrong.
    static std::optional<standin_task> parse(const nlohmann::json& body);
    /// Returns "<kind>:<payload>", with the SHA-256 digest of the payload
    /// instead if it is longer than 256 bytes.
    [[nodiscard]] std::string result() const;
};

} // namespace jujubedrum
