#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Returns the body of a job. Each payload holds the job's name and the task's
/// index, so that `check_answers` detects an answer to another task.
/// Options: tasks, run_ms, team, kind, memory_mb, repeatable, deadline_ms,
/// wait_ms, and for the payload actual_ms, fail, use_memory_mb.
nlohmann::json make_job(const std::string& name,
                        const std::map<std::string, std::string>& options);

/// Compares the answers of a complete reply to a job with the expected number,
/// order and text. Returns a description of the first difference, or an empty
/// string.
std::string check_answers(const nlohmann::json& job,
                          const nlohmann::json& reply);

} // namespace jujubedrum
