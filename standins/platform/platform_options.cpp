#include "platform/platform_options.hpp"

#include <cstdio>
#include <cstdlib>

#include <getopt.h>

namespace jujubedrum
{

namespace
{

constexpr const char* usage =
    "usage: platform_standin [--address A] [--port N] [--append-cap N]\n"
    "  [--retain-records N] [--retain-seconds S] [--list-lag-ms N]\n"
    "  [--append-ms N]\n";

const option long_options[] = {
    {"address", required_argument, nullptr, 'a'},
    {"port", required_argument, nullptr, 'p'},
    {"append-cap", required_argument, nullptr, 'c'},
    {"retain-records", required_argument, nullptr, 'r'},
    {"retain-seconds", required_argument, nullptr, 's'},
    {"list-lag-ms", required_argument, nullptr, 'l'},
    {"append-ms", required_argument, nullptr, 'm'},
    {nullptr, 0, nullptr, 0}};

} // namespace

std::optional<platform_options> platform_options::parse(int argc, char** argv)
{
    platform_options result;
    optind = 1;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        const long long number =
            optarg == nullptr ? 0 : std::strtoll(optarg, nullptr, 10);
        switch (code)
        {
        case 'a':
            result.address = optarg;
            break;
        case 'p':
            result.port = static_cast<int>(number);
            break;
        case 'c':
            result.max_appends_per_second = static_cast<int>(number);
            break;
        case 'r':
            result.retain_records = number;
            break;
        case 's':
            result.retain_seconds = number;
            break;
        case 'l':
            result.list_lag_ms = number;
            break;
        case 'm':
            result.append_ms = number;
            break;
        default:
            std::fputs(usage, stderr);
            return std::nullopt;
        }
    }
    if (optind != argc || result.max_appends_per_second <= 0 ||
        result.retain_records <= 0)
    {
        std::fputs(usage, stderr);
        return std::nullopt;
    }
    return result;
}

} // namespace jujubedrum
