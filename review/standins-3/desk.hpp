#pragma once

#include <string>

namespace jujubedrum
{

/// The queue of the scripts, as in `fleetbench wire`.
constexpr const char* desk_host = "desk.example";
constexpr const char* desk_service = "order-desk";
constexpr const char* desk_prefix = "/slip/";

/// Returns a configuration with this queue alone.
std::string desk_configuration(int time_limit_ms, int objective_ms);

/// Returns the body of a best-effort job, a chain of equal tasks.
/// \param label that their servers must have; may be empty.
std::string chain_job(int tasks, int task_ms, const std::string& label);

} // namespace jujubedrum
