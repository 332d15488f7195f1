#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);
/// Returns valid inputs of the target, from which mutated ones are derived.
std::vector<std::string> fuzz_seeds();

namespace
{

void run_one(const std::string& input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()),
                           input.size());
}

void mutate(std::string& input, std::mt19937_64& random)
{
    const std::uint64_t edits = 1 + random() % 4;
    for (std::uint64_t i = 0; i < edits; ++i)
    {
        const std::size_t at = input.empty() ? 0 : random() % input.size();
        switch (random() % 4)
        {
        case 0:
            input.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            input.erase(at, 1 + random() % 4);
            break;
        case 2:
            input.insert(at, input.substr(at, random() % 16));
            break;
        default:
            if (!input.empty())
            {
                input[at] = static_cast<char>(random());
            }
            break;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t runs = 0;
    std::uint64_t seed = 1;
    for (int i = 1; i < argc; ++i)
    {
        const std::string argument = argv[i];
        if (argument == "--runs" && i + 1 < argc)
        {
            runs = std::strtoull(argv[++i], nullptr, 10);
        }
        else if (argument == "--seed" && i + 1 < argc)
        {
            seed = std::strtoull(argv[++i], nullptr, 10);
        }
        else
        {
            std::ifstream file(argument, std::ios::binary);
            run_one(std::string(std::istreambuf_iterator<char>(file), {}));
        }
    }
    std::mt19937_64 random(seed);
    const std::vector<std::string> seeds = fuzz_seeds();
    for (std::uint64_t run = 0; run < runs; ++run)
    {
        std::string input = seeds[random() % seeds.size()];
        mutate(input, random);
        run_one(input);
    }
    std::cout << "runs=" << runs << " seed=" << seed << "\n";
    return 0;
}
