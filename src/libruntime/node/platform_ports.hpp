#pragma once

#include "dispatch/evacuation.hpp"
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

/// Sends requests to one backend server. Callbacks never run inside the call.
class server_channel
{
public:
    virtual ~server_channel() = default;
    virtual void start(const start_request& request,
                       std::function<void(start_outcome)> done) = 0;
    /// \param done called with true if the server confirmed that the run ends
    /// or never starts, otherwise with false.
    virtual void stop(const run_id& run, std::uint64_t token,
                      std::function<void(bool)> done) = 0;
    virtual void poll(const poll_request& request,
                      std::function<void(poll_reply)> done) = 0;
    /// Abandons calls in progress; their callbacks are not called.
    virtual void close() = 0;
};

/// A change of the list of backend servers.
struct server_change
{
    std::string id;
    /// Empty: the entry was removed, or it is unreadable.
    std::optional<server_info> info;
    bool unreadable = false; ///< the entry names no server to use
};

/// Receives updates from the platform's store.
class store_listener
{
public:
    virtual ~store_listener() = default;
    virtual void on_configuration(route_document document) = 0;
    /// The operator evacuated a failure domain or returned it to service.
    virtual void on_evacuation(const evacuation& record) = 0;
    /// All of the operator's records were read when their log ended at `end`.
    /// Only these failure domains were evacuated then.
    virtual void on_evacuated_domains(const std::set<std::string>& domains,
                                      std::uint64_t end) = 0;
    virtual void on_servers(const std::vector<server_change>& changes) = 0;
    /// The whole list was read. Servers that are not in it have no entry, also
    /// when no update reported the removal.
    virtual void on_server_ids(const std::set<std::string>& ids) = 0;
    virtual void on_members(const std::vector<member_record>& members) = 0;
    /// Reports whether the store answers, also repeatedly without a change.
    virtual void on_store_state(bool reachable, const std::string& reason) = 0;
};

/// The part of the platform's store that the dispatcher uses.
class shared_store
{
public:
    virtual ~shared_store() = default;
    /// Starts to watch the configuration and the members.
    virtual void watch(store_listener& listener) = 0;
    /// Starts or stops watching the list of backend servers, which is long and
    /// changes all the time. Each start reads the whole list.
    virtual void watch_servers(bool wanted) = 0;
    /// Writes the record by which other instances find this one.
    virtual void announce(const member_record& self) = 0;
    /// Passes a number higher than all earlier ones to `done`, or nothing if
    /// the store did not answer in time.
    /// \param purpose names the pool and the instance that the number is for.
    virtual void
    next_fence(const std::string& purpose,
               std::function<void(std::optional<std::uint64_t>)> done) = 0;
};

/// Creates channels to backend servers.
class channel_factory
{
public:
    virtual ~channel_factory() = default;
    virtual std::unique_ptr<server_channel> open(const server_info& server) = 0;
};

} // namespace jujubedrum
