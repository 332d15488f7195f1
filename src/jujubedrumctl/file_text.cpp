#include "file_text.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace jujubedrum
{

std::optional<std::string> read_file(const std::string& path, std::string& why)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        why = path + ": " + std::strerror(errno);
        return std::nullopt;
    }
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (file.bad())
    {
        why = path + ": read error";
        return std::nullopt;
    }
    return text;
}

bool create_private_file(const std::string& path, const std::string& text,
                         std::string& why)
{
    const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                          S_IRUSR | S_IWUSR);
    if (file < 0)
    {
        why = path + ": " + std::strerror(errno);
        return false;
    }
    const bool written = write(file, text.data(), text.size()) ==
                         static_cast<ssize_t>(text.size());
    if (close(file) != 0 || !written)
    {
        why = path + ": write error";
        return false;
    }
    return true;
}

} // namespace jujubedrum
