#pragma once

#include "arrival_schedule.hpp"
#include "run_options.hpp"

#include <deque>
#include <string>

#include <httplib.h>

namespace jujubedrum
{

/// One kept connection to an entry instance.
class entry_session
{
public:
    /// \param label part of the ids if the caller chooses them; unique.
    entry_session(const run_options& options, const run_options::entry& entry,
                  std::string id_prefix);

    /// Submits a job and waits for its outcome.
    /// \return the outcome in the reply, "http_N" for an error status, or
    /// "no_reply".
    std::string submit(const arriving_job& job);

private:
    std::string next_id();
    std::string request_body(const arriving_job& job,
                             const std::string& id) const;

    const run_options& options;
    std::string id_prefix;
    httplib::Client client;
    std::deque<std::string> ids;
    std::size_t own_id_count = 0;
};

} // namespace jujubedrum
