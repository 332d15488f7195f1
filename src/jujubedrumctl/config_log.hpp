#pragma once

#include "config/config_fold.hpp"

#include "platform_client.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace jujubedrum
{

/// Reader of the stream `config` on the platform. Applies the records to a
/// config_fold in the order of the log.
class config_log
{
public:
    /// \param admin_public_key 64 hex digits.
    config_log(platform_client& client, const std::string& admin_public_key);

    /// Reads the next page and applies it.
    /// \param max_wait how long the platform waits for a first record.
    /// \return true if the page is empty, so that the end of the stream is
    /// reached; nothing if the read failed.
    std::optional<bool> read(std::chrono::milliseconds max_wait,
                             platform_reason& why);

    /// Reads to the end of the stream, retrying failed reads. Returns false if
    /// by the deadline the end is not reached, or if the first records are no
    /// longer retained and no snapshot has been found.
    bool read_to_end(std::chrono::steady_clock::time_point deadline,
                     platform_reason& why);

    /// Returns the configuration as of the records read.
    [[nodiscard]] const config_fold& fold() const { return this->folded; }

private:
    platform_client& client;
    config_fold folded;
};

} // namespace jujubedrum
