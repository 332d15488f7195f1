#pragma once

#include "dispatch/route_table.hpp"
#include "dispatch/server_info.hpp"
#include "dispatch/server_requests.hpp"
#include "node/http_server.hpp"
#include "node/peer_mesh.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubedrum
{

/// Orders to one backend server. Callbacks never run inside the call.
class server_channel
{
public:
    virtual ~server_channel() = default;
    virtual void start(const start_request& request,
                       std::function<void(start_outcome)> done) = 0;
    /// \param done true if the server confirmed that the run ends or never
    /// starts.
    virtual void stop(const run_id& run, std::uint64_t token,
                      std::function<void(bool)> done) = 0;
    virtual void poll(const poll_request& request,
                      std::function<void(poll_reply)> done) = 0;
    /// Drops calls in progress; their callbacks do not run.
    virtual void close() = 0;
};

/// A change of the list of backend servers.
struct server_change
{
    std::string id;
    std::optional<server_info> info; ///< nothing: the server is gone
};

/// Receives what changes in the platform's store.
class store_listener
{
public:
    virtual ~store_listener() = default;
    virtual void on_configuration(route_document document) = 0;
    virtual void on_servers(const std::vector<server_change>& changes) = 0;
    /// The whole list was read; servers not in it have no entry.
    virtual void on_server_ids(const std::set<std::string>& ids) = 0;
    virtual void on_members(const std::vector<member_record>& members) = 0;
    /// The store stopped or began to answer.
    virtual void on_store_state(bool reachable, const std::string& reason) = 0;
};

/// The platform's store, as far as the dispatcher uses it.
class shared_store
{
public:
    virtual ~shared_store() = default;
    /// Begins to watch configuration and members.
    virtual void watch(store_listener& listener) = 0;
    /// Begins or ends to watch the list of backend servers, which is long and
    /// changes all the time. It is read as a whole at each beginning.
    virtual void watch_servers(bool wanted) = 0;
    /// Announces this instance to the others.
    virtual void announce(const member_record& self) = 0;
    /// Returns a number above all that were returned before, or nothing if
    /// the store did not answer in time.
    virtual void
    next_fence(const std::string& purpose,
               std::function<void(std::optional<std::uint64_t>)> done) = 0;
};

/// Makes channels to backend servers.
class channel_factory
{
public:
    virtual ~channel_factory() = default;
    virtual std::unique_ptr<server_channel> open(const server_info& server) = 0;
};

} // namespace jujubedrum
