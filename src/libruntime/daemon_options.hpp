#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Exit codes of the daemons.
constexpr int exit_usage = 1; ///< wrong command line, or cannot start
constexpr int exit_settings = 2;

/// Command line of a daemon: where its settings are and whether they are only
/// to be checked.
class daemon_options
{
public:
    /// \param default_path of the settings, used if the command line names
    /// none; may be empty.
    /// \param status set if nothing is returned: the program ends with it. Help
    /// or the cause has been printed then.
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
