#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Command-line options of the platform stand-in.
struct platform_options
{
    std::string address = "127.0.0.1";
    int port = 0;
    int max_appends_per_second = 300;
    long long retain_records = 1000000;
    long long retain_seconds = 3600;
    long long list_lag_ms = 0;
    /// Time that each append takes.
    long long append_ms = 4;

    /// Parses the arguments. If they are invalid, prints the usage to stderr
    /// and returns nothing.
    static std::optional<platform_options> parse(int argc, char** argv);
};

} // namespace jujubedrum
