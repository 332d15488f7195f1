#include "membership/member_table.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace jujubedrum;

/// Parses the input as a list page and applies an accepted page to a member
/// table, which must exceed neither the heartbeats of a round nor the listed
/// backend servers, and must prove no instance dead.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    membership_reason why;
    const auto page = parse_instance_page(text, why);
    if (!page)
    {
        if (why.code() == membership_error::none || why.text().empty())
        {
            std::abort();
        }
        return 0;
    }
    instance_info self;
    self.name = "e0";
    self.domain = "d1";
    member_table table(self, 1);
    table.on_list(*page, seconds(1));
    if (table.tick(seconds(2)).size() > 4 ||
        table.backends().size() > page->changes.size() ||
        table.is_dead("e1", 1, seconds(2)))
    {
        std::abort();
    }
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    return {R"({"version":1,"full":true,"changes":[]})",
            R"({"version":7,"full":false,"changes":[{"name":"e1",
                "role":"entry","domain":"d1","region":"r1",
                "address":"127.0.0.1","port":8080,"rpc_port":8081,
                "weight":2,"slots":0,"memory_mb":0,"state":"live"},
                {"name":"b1","role":"backend","domain":"d2","address":"::1",
                "port":9,"slots":8,"memory_mb":64000,"state":"leaving"},
                {"name":"e2","role":"entry","state":"gone"}]})"};
}
