#pragma once

#include "dispatch/job_request.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Description of a backend server, as it registered itself.
struct server_info
{
    std::string id;
    std::string service;
    std::string address; ///< numeric IP address
    std::uint16_t port = 0;
    std::string domain; ///< failure domain
    bool draining = false;
    std::uint64_t incarnation = 0; ///< changes with a restart; 0: unknown
    resource_amounts capacity;
    std::vector<std::string> labels; ///< kind and rack

    [[nodiscard]] bool has_label(const std::string& label) const
    {
        return std::find(this->labels.begin(), this->labels.end(), label) !=
               this->labels.end();
    }

    bool operator==(const server_info&) const = default;
};

} // namespace jujubedrum
