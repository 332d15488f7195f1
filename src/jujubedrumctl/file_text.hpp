#pragma once

#include <optional>
#include <string>

namespace jujubedrum
{

/// Returns the bytes of the file; nothing if it cannot be read.
/// \param why set to the file name and the system's error text.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path,
                                                   std::string& why);

/// Creates the file, readable by its owner only. Fails if it exists.
[[nodiscard]] bool create_private_file(const std::string& path,
                                       const std::string& text,
                                       std::string& why);

} // namespace jujubedrum
