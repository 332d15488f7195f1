#include "platform_replies.hpp"

#include <cstdint>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)jujubedrum::parse_append_reply(text);
    (void)jujubedrum::parse_records_page(text);
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    return {R"({"offset":7})", R"({"first_retained":2,"next":4,"records":[)"
                               R"({"offset":3,"data":"x"}]})"};
}
