#pragma once

#include "arrival_schedule.hpp"
#include "run_options.hpp"

#include <deque>
#include <string>

#include <httplib.h>

namespace jujubedrum
{

/// Persistent connection to an entry instance that submits one job at a time.
class entry_session
{
public:
    /// \param id_prefix start of the ids if the caller chooses them; unique to
    /// the session.
    entry_session(const run_options& options, const run_options::entry& entry,
                  std::string id_prefix);

    /// Submits a job and waits for its outcome.
    /// \return the outcome in the reply; "http_N" for a reply of status N
    /// without one; "no_id" if the instance issued no id; "no_reply" if the
    /// call failed.
    std::string submit(const arriving_job& job);

private:
    /// Returns an id for the next job; empty if the instance issues none.
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
