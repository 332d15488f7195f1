#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Description of one simulated backend server.
struct server_options
{
    std::string name = "backend";
    std::string address = "127.0.0.1";
    int port = 0;
    std::string domain;
    /// Run time is the reference run time divided by this factor.
    double speed = 1.0;
    int slots = 8;
    int connections = 64;
    long long memory_mb = 32768;
    long long usage_lag_ms = 1000;

    /// Parses "name=b1,port=9001,domain=d1,speed=2.0,slots=8,memory_mb=32768";
    /// returns nothing on an unknown key or a value out of range.
    static std::optional<server_options> parse(const std::string& text);
};

} // namespace jujubedrum
