#include "model_command.hpp"
#include "run_command.hpp"

#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "model")
    {
        return jujubedrum::run_model_command(argc - 1, argv + 1);
    }
    if (argc > 1 && std::string_view(argv[1]) == "run")
    {
        return jujubedrum::run_run_command(argc - 1, argv + 1);
    }
    std::cerr << "usage: jujubedrum-load model|run [options]\n";
    return 2;
}
