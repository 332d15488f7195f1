#include "desk.hpp"

#include <nlohmann/json.hpp>

namespace jujubedrum
{

using nlohmann::json;

std::string desk_configuration(int time_limit_ms, int objective_ms)
{
    return json{{"version", 1},
                {"routes",
                 {{{"name", "r-1"},
                   {"host", desk_host},
                   {"pathPrefix", desk_prefix},
                   {"kind", "non_idempotent"},
                   {"timeoutMs", time_limit_ms},
                   {"targetLatencyMs", objective_ms},
                   {"priority", 0},
                   {"backend", desk_service},
                   {"maxAttempts", 3},
                   {"stretch", 1.6}}}},
                {"services",
                 {{{"name", desk_service},
                   {"healthPath", "/healthz"},
                   {"maxConns", 64},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"admissionCheck", true},
                   {"standby", false}}}},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 262144},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}}
        .dump();
}

std::string chain_job(int tasks, int task_ms, const std::string& label)
{
    json steps = json::array();
    for (int i = 0; i < tasks; ++i)
    {
        json step{{"count", 1},
                  {"cpu", 6800},
                  {"memMb", 64},
                  {"estRuntimeMs", task_ms}};
        if (!label.empty())
        {
            step["constraints"] = label;
        }
        if (i > 0)
        {
            step["after"] = {i - 1};
        }
        steps.push_back(step);
    }
    return json{{"taskSpec", std::to_string(task_ms) + " 6800 64"},
                {"bestEffort", true},
                {"steps", steps}}
        .dump();
}

} // namespace jujubedrum
