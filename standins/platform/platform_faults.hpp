#pragma once

#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// Faults that the platform stand-in is told to show.
struct platform_faults
{
    /// Every request under /v1 is closed without a reply and has no effect.
    bool down = false;
    /// Delay before a reply, after an append took effect.
    long long delay_ms = 0;
    /// Delay before an append takes effect, even if the client gave up.
    long long append_delay_ms = 0;
    /// Number of appends that take effect but get no reply.
    long long lose_replies = 0;
    /// Number of appends that are closed without effect or reply.
    long long drop_appends = 0;
    /// Reads leave out this many of the newest records.
    long long lag_records = 0;
    long long list_lag_ms = 0;
    bool list_frozen = false;

    /// Sets the faults that the object names and keeps the others.
    void update(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json to_json() const;
};

} // namespace jujubedrum
