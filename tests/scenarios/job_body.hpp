#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Generates the body of a job whose payloads name their job and index, so
/// that an answer that belongs to another task is recognised.
/// Options: tasks, run_ms, team, kind, memory_mb, repeatable, deadline_ms,
/// wait_ms, and for the payload actual_ms, fail, use_memory_mb.
nlohmann::json make_job(const std::string& name,
                        const std::map<std::string, std::string>& options);

/// Returns what is wrong with the answers of a complete reply to this job:
/// their number, order or text; empty if they are right.
std::string check_answers(const nlohmann::json& job,
                          const nlohmann::json& reply);

} // namespace jujubedrum
