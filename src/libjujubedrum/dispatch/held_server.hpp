#pragma once

#include "dispatch/pooled_job.hpp"
#include "dispatch/server_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace jujubedrum
{

/// A backend server of the dispatcher and the runs that may be on it.
struct held_server
{
    server_record record;
    std::vector<task_ref> runs; ///< of the dispatcher's jobs
    /// Of the session with the server; rises from session to session.
    std::uint64_t number = 0;
};

using held_servers = std::map<std::string, held_server>; ///< by id

} // namespace jujubedrum
