#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Options of one backend server stand-in.
struct server_options
{
    std::string name = "backend";
    std::string address = "127.0.0.1";
    int port = 0;
    std::string domain;
    /// Divisor of the reference run time of tasks.
    double speed = 1.0;
    int slots = 8;
    /// Maximum connections that carry requests to run tasks.
    int connections = 64;
    long long memory_mb = 32768;
    /// Age of the usage figures that are reported.
    long long usage_lag_ms = 1000;

    /// Parses a list such as
    /// "name=b1,port=9001,domain=d1,speed=2.0,slots=8,memory_mb=32768". Returns
    /// nothing on an unknown key or a value out of range.
    static std::optional<server_options> parse(const std::string& text);
};

} // namespace jujubedrum
