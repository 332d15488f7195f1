#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Exit codes of the daemons.
constexpr int exit_usage = 1;    ///< wrong command line, or cannot start
constexpr int exit_settings = 2; ///< settings unreadable or invalid

/// Command line of a daemon: the path of its settings, and whether to check
/// them and exit.
class daemon_options
{
public:
    /// Parses the command line. If it asks for help or is invalid, prints the
    /// usage and returns nothing.
    /// \param default_path path of the settings if the command line gives none;
    /// may be empty, which makes the option mandatory.
    /// \param status exit code for the process; valid if nothing is returned.
    static std::optional<daemon_options> parse(int argc, char** argv,
                                               const std::string& usage,
                                               const std::string& default_path,
                                               int& status);

    [[nodiscard]] const std::string& settings_path() const
    {
        return this->path;
    }
    [[nodiscard]] bool check_only() const { return this->check; }

    bool operator==(const daemon_options&) const = default;

private:
    std::string path;
    bool check = false;
};

/// Returns the contents of a file, or nothing if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

} // namespace jujubedrum
