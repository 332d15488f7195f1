#include "keygen_command.hpp"

#include "file_text.hpp"
#include "output.hpp"

#include "config/key_pair.hpp"

namespace jujubedrum
{

std::vector<option_spec> keygen_command::options() const
{
    return {{.name = "out",
             .type = option_spec::kind::text,
             .placeholder = "FILE",
             .help = "New file for the private key, readable by its owner.",
             .required = true}};
}

exit_code keygen_command::run(const command_line& line)
{
    config_reason why;
    const auto key = key_pair::generate(why);
    if (!key)
    {
        return print_error(line, exit_code::failed, why);
    }
    std::string error;
    if (!create_private_file(line.text("out"), key->private_key() + "\n",
                             error))
    {
        return print_error(line, exit_code::usage, "", error);
    }
    print_result(line, {{"public_key", key->public_key()},
                        {"private_key_file", line.text("out")}});
    return exit_code::success;
}

} // namespace jujubedrum
