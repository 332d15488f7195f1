#pragma once

#include "config/config_fold.hpp"

#include "platform_client.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Stream `config` on the platform, folded as far as it was read.
class config_log
{
public:
    /// \param admin_public_key 64 hex digits.
    config_log(platform_client& client, const std::string& admin_public_key);

    /// Reads one page and folds it, waiting for a first record.
    /// Returns whether the end of the stream is reached; nothing on an error.
    std::optional<bool> read(std::chrono::milliseconds max_wait,
                             platform_reason& why);

    /// Reads to the end of the stream, retrying failed reads. Returns false if
    /// the end is not reached, or no snapshot found, by the deadline.
    bool read_to_end(std::chrono::steady_clock::time_point deadline,
                     platform_reason& why);

    /// Returns the fold of the records read.
    [[nodiscard]] const config_fold& fold() const { return this->folded; }

private:
    platform_client& client;
    config_fold folded;
};

} // namespace jujubedrum
