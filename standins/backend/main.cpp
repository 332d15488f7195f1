#include "backend/backend_server_standin.hpp"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include <getopt.h>

namespace jujubedrum
{

namespace
{

constexpr const char* usage =
    "usage: backend_standin [--address A] --server\n"
    "  name=b1,port=9001,domain=d1,speed=2.0,slots=8,memory_mb=32768 ...\n"
    "Further keys: connections (64), usage_lag_ms (1000).\n";

std::vector<server_options> parse_arguments(int argc, char** argv)
{
    static const option long_options[] = {
        {"address", required_argument, nullptr, 'a'},
        {"server", required_argument, nullptr, 's'},
        {nullptr, 0, nullptr, 0}};
    std::string address = "127.0.0.1";
    std::vector<server_options> servers;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        const auto server = code == 's' ? server_options::parse(optarg)
                                        : std::optional<server_options>();
        if (code == 'a')
        {
            address = optarg;
        }
        else if (server.has_value())
        {
            servers.push_back(*server);
        }
        else
        {
            return {};
        }
    }
    for (server_options& server : servers)
    {
        server.address = address;
    }
    return servers;
}

int serve(const std::vector<server_options>& options)
{
    std::vector<std::unique_ptr<backend_server_standin>> servers;
    std::vector<std::thread> threads;
    int result = 0;
    for (const server_options& option : options)
    {
        auto server = std::make_unique<backend_server_standin>(option);
        const auto port = server->bind(option.address, option.port);
        if (!port.has_value())
        {
            std::fputs(
                "backend_standin: cannot listen on a server's port; exiting\n",
                stderr);
            result = 1;
            break;
        }
        threads.emplace_back([server = server.get()]
                             { server->listen_after_bind(); });
        servers.push_back(std::move(server));
        std::printf("listening %d\n", *port);
        std::fflush(stdout);
    }
    if (result == 0)
    {
        wait_for_stop_signal();
    }
    for (const auto& server : servers)
    {
        server->shut_down();
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return result;
}

} // namespace

} // namespace jujubedrum

int main(int argc, char** argv)
{
    using namespace jujubedrum;
    const std::vector<server_options> servers = parse_arguments(argc, argv);
    if (servers.empty())
    {
        std::fputs(usage, stderr);
        return 2;
    }
    block_stop_signals();
    return serve(servers);
}
