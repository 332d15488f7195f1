#include "config/schemas.hpp"

namespace jujubedrum
{

namespace
{

// docs/CONFIGURATION.md lists the same fields, bounds and defaults. Patterns
// contain only bounded repetitions, since std::regex recurses once per
// character.
constexpr std::string_view system_schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "team_keys": {
      "type": "object",
      "propertyNames": {"pattern": "^[a-z0-9_-]{1,64}$"},
      "additionalProperties": {
        "type": "string", "pattern": "^[0-9a-f]{64}$"
      }
    },
    "objective": {"type": "string", "enum": ["response_time", "messages"]},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "max_tasks_per_job": {"type": "integer", "minimum": 1, "maximum": 690},
        "max_payload_bytes":
          {"type": "integer", "minimum": 1, "maximum": 65536},
        "max_body_bytes":
          {"type": "integer", "minimum": 1024, "maximum": 8388608},
        "max_run_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "max_queued_tasks":
          {"type": "integer", "minimum": 1, "maximum": 1000000},
        "retry_percent": {"type": "integer", "minimum": 0, "maximum": 50}
      }
    }
  }
})json";

constexpr std::string_view team_schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "quota": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "tasks_per_second":
          {"type": "integer", "minimum": 1, "maximum": 100000},
        "in_flight": {"type": "integer", "minimum": 1, "maximum": 100000}
      }
    },
    "weight": {"type": "integer", "minimum": 1, "maximum": 100},
    "caller_token_sha256": {
      "type": "array",
      "maxItems": 64,
      "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}
    },
    "max_tasks_per_job": {"type": "integer", "minimum": 1, "maximum": 690},
    "default_deadline_ms":
      {"type": "integer", "minimum": 10, "maximum": 600000},
    "kinds": {
      "type": "object",
      "propertyNames": {"pattern": "^[A-Za-z0-9_.:-]{1,64}$"},
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "repeatable": {"type": "boolean"},
          "run_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
          "memory_mb": {"type": "integer", "minimum": 1, "maximum": 65536}
        }
      }
    }
  }
})json";

constexpr std::string_view settings_schema_text = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "domain", "region", "platform",
    "admin_public_key"],
  "properties": {
    "instance": {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$"},
    "domain": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,64}$"},
    "region": {"type": "string", "pattern": "^[A-Za-z0-9_.-]{1,64}$"},
    "listen_address": {"type": "string"},
    "http_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "rpc_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "weight": {"type": "integer", "minimum": 1, "maximum": 100},
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "admin_public_key": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "operator_token_sha256": {
      "type": "array",
      "maxItems": 64,
      "items": {"type": "string", "pattern": "^[0-9a-f]{64}$"}
    },
    "log_level":
      {"type": "string", "enum": ["debug", "info", "warning", "error"]},
    "policy": {
      "type": "string",
      "enum": ["owned_slots", "round_robin", "random_choice", "two_choices"]
    },
    "sender_threads": {"type": "integer", "minimum": 1, "maximum": 512},
    "http_threads": {"type": "integer", "minimum": 1, "maximum": 512},
    "answer_budget_bytes":
      {"type": "integer", "minimum": 65536, "maximum": 4294967296},
    "tunables": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "id_lifetime_ms":
          {"type": "integer", "minimum": 1000, "maximum": 86400000},
        "answer_lifetime_ms":
          {"type": "integer", "minimum": 1000, "maximum": 86400000},
        "claim_window_ms":
          {"type": "integer", "minimum": 1000, "maximum": 86400000},
        "claim_timeout_ms":
          {"type": "integer", "minimum": 100, "maximum": 60000},
        "clock_skew_ms": {"type": "integer", "minimum": 0, "maximum": 300000},
        "claim_append_budget":
          {"type": "integer", "minimum": 1, "maximum": 10000},
        "heartbeat_interval_ms":
          {"type": "integer", "minimum": 50, "maximum": 10000},
        "grant_linger_ms":
          {"type": "integer", "minimum": 10, "maximum": 60000},
        "config_poll_wait_ms":
          {"type": "integer", "minimum": 100, "maximum": 5000},
        "list_poll_interval_ms":
          {"type": "integer", "minimum": 50, "maximum": 60000},
        "log_retention_ms":
          {"type": "integer", "minimum": 3000, "maximum": 604800000},
        "connect_timeout_ms":
          {"type": "integer", "minimum": 10, "maximum": 10000},
        "drain_timeout_ms":
          {"type": "integer", "minimum": 100, "maximum": 600000}
      }
    }
  }
})json";

} // namespace

const json_schema& system_schema()
{
    static const json_schema schema(system_schema_text);
    return schema;
}

const json_schema& team_schema()
{
    static const json_schema schema(team_schema_text);
    return schema;
}

const json_schema& settings_schema()
{
    static const json_schema schema(settings_schema_text);
    return schema;
}

} // namespace jujubedrum
