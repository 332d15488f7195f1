#include "platform_options.hpp"

#include "base/hex.hpp"

namespace jujubedrum
{

std::vector<option_spec> platform_options()
{
    return {{.name = "platform",
             .type = option_spec::kind::text,
             .placeholder = "ADDRESS:PORT",
             .help = "The platform; a numeric IP address.",
             .required = true},
            {.name = "admin-public-key",
             .type = option_spec::kind::text,
             .placeholder = "HEX",
             .help = "The administrator's public key, 64 hex digits."},
            {.name = "deadline-ms",
             .type = option_spec::kind::number,
             .placeholder = "MS",
             .help = "Longest time to try.",
             .default_value = "10000"}};
}

bool is_admin_key_valid(const command_line& line)
{
    const auto bytes = from_hex(line.text("admin-public-key"));
    return !line.has("admin-public-key") || (bytes && bytes->size() == 32);
}

std::string platform_usage_error(bool endpoint_valid)
{
    return endpoint_valid ? "--admin-public-key: not 64 lower-case hex digits"
                          : "--platform: not a numeric ADDRESS:PORT";
}

} // namespace jujubedrum
