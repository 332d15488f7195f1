#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Returns the contents of the file; nothing if it cannot be read.
/// \param why set to the file name and the error if nothing is returned.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path,
                                                   std::string& why);

/// Creates a file that only its owner can read and write. Returns false if it
/// exists already or cannot be written.
/// \param why set to the file name and the error on failure.
[[nodiscard]] bool create_private_file(const std::string& path,
                                       const std::string& text,
                                       std::string& why);

} // namespace jujubedrum
