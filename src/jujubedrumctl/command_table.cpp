#include "command_table.hpp"

#include "answer_command.hpp"
#include "cancel_command.hpp"
#include "check_command.hpp"
#include "keygen_command.hpp"
#include "publish_command.hpp"
#include "report_command.hpp"
#include "show_command.hpp"
#include "submit_command.hpp"

namespace jujubedrum
{

std::vector<std::unique_ptr<command>> command_table()
{
    std::vector<std::unique_ptr<command>> table;
    table.push_back(std::make_unique<keygen_command>());
    table.push_back(std::make_unique<check_command>());
    table.push_back(std::make_unique<publish_command>());
    table.push_back(std::make_unique<show_command>());
    table.push_back(std::make_unique<report_command>(
        "status", "Prints the state of an entry instance in short."));
    table.push_back(std::make_unique<report_command>(
        "dump", "Prints the whole state of an entry instance."));
    table.push_back(std::make_unique<submit_command>());
    table.push_back(std::make_unique<answer_command>());
    table.push_back(std::make_unique<cancel_command>());
    return table;
}

} // namespace jujubedrum
