#include "daemon_options.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

#include <getopt.h>

namespace jujubedrum
{

std::optional<daemon_options>
daemon_options::parse(int argc, char** argv, const std::string& usage,
                      const std::string& default_path, int& status)
{
    const option known[] = {{"settings", required_argument, nullptr, 's'},
                            {"check", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
    daemon_options result;
    result.path = default_path;
    status = exit_usage;
    for (int c = 0;
         (c = getopt_long(argc, argv, "s:ch", known, nullptr)) != -1;)
    {
        switch (c)
        {
        case 's':
            result.path = optarg;
            break;
        case 'c':
            result.check = true;
            break;
        case 'h':
            std::cout << usage;
            status = 0;
            return std::nullopt;
        default:
            std::cerr << usage;
            return std::nullopt;
        }
    }
    if (result.path.empty() || optind != argc)
    {
        std::cerr << usage;
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace jujubedrum
