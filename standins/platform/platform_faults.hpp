#pragma once

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Faults injected into the platform stand-in through /control/faults.
struct platform_faults
{
    /// Requests under /v1 have no effect, and their connections are closed
    /// without a reply.
    bool down = false;
    /// Delay before a reply; for an append, after it has taken effect.
    long long delay_ms = 0;
    /// Delay before an append takes effect. It does so even if the client has
    /// closed the connection meanwhile.
    long long append_delay_ms = 0;
    /// Number of further appends that take effect but get no reply.
    long long lose_replies = 0;
    /// Number of further appends that have no effect and get no reply.
    long long drop_appends = 0;
    /// Number of newest records of a stream that reads omit.
    long long lag_records = 0;
    /// Age at which a change of the instance list becomes visible to readers.
    long long list_lag_ms = 0;
    /// Readers of the instance list see no further changes.
    bool list_frozen = false;

    /// Sets the faults that are fields of the object and keeps the others.
    void update(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json to_json() const;
};

} // namespace jujubedrum
