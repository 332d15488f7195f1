#include "platform/platform_server.hpp"

#include <cstdio>
#include <thread>

int main(int argc, char** argv)
{
    using namespace jujubedrum;
    const auto options = platform_options::parse(argc, argv);
    if (!options.has_value())
    {
        return 2;
    }
    block_stop_signals();
    platform_server server(*options);
    const auto port = server.bind(options->address, options->port);
    if (!port.has_value())
    {
        std::fputs(
            "platform_standin: cannot listen on address and port; exiting\n",
            stderr);
        return 1;
    }
    std::thread thread([&server] { server.listen_after_bind(); });
    std::printf("listening %d\n", *port);
    std::fflush(stdout);
    wait_for_stop_signal();
    server.shut_down();
    thread.join();
    return 0;
}
