#pragma once

#include "config/settings.hpp"
#include "engine/request_filter.hpp"
#include "engine_host.hpp"
#include "metrics_registry.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <httplib.h>

namespace jujubedrum
{

/// HTTP server of an entry instance for callers and operators.
class http_frontend
{
public:
    http_frontend(const settings& settings, engine_host& host,
                  metrics_registry& metrics);
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;

    /// Starts to listen and to serve. Returns the port, or nothing if the
    /// address cannot be bound.
    std::optional<int> start();
    /// From now on, sends `Connection: close` with every response and reports
    /// the instance as not ready.
    void drain() { this->draining = true; }
    /// Returns the number of requests in progress that arrived before
    /// `drain()`.
    [[nodiscard]] std::size_t active() const { return this->active_requests; }
    /// Stops listening, then blocks until the requests in progress have been
    /// answered and their connections closed.
    void stop();

private:
    using request = httplib::Request;
    using response = httplib::Response;

    void configure();
    void add_routes();
    void add_admin_routes();
    void post_ids(const request& req, response& res);
    void post_job(const request& req, response& res);
    void get_job(const request& req, response& res);
    void delete_job(const request& req, response& res);
    template <typename Event>
    void handle_job_event(const request& req, response& res, milliseconds wait);
    /// Returns the team that the request's token belongs to. Writes an error
    /// and returns nothing if the token is missing or unknown, or if the
    /// instance is not ready yet.
    std::optional<std::string> find_team(const request& req,
                                         response& res) const;
    /// Returns the part of the state that the request may read: the name of a
    /// team, or an empty string for all of it. Writes an error and returns
    /// nothing if the request has no access.
    std::optional<std::string> find_read_scope(const request& req,
                                               response& res) const;
    void get_dump(const request& req, response& res);
    void get_status(const request& req, response& res);
    void get_metrics(const request& req, response& res);
    /// Queues an event for the engine and waits for the reply. Returns nothing
    /// if the wait has passed or the event ring is full.
    /// \param ring_full set to whether the event ring was full, in which case
    /// the event has no effect.
    template <typename Event>
    std::optional<engine_reply> post_and_wait(Event next, milliseconds wait,
                                              bool& ring_full);
    void write(response& res, const api_reply& reply) const;
    void write_json(response& res, int status, const std::string& body) const;
    /// Writes JSON from the engine. If it is an error body, its status is used.
    void write_report(response& res, const std::string& report) const;
    /// Writes the common error body for an error that the HTTP library raised;
    /// leaves a response that has a body as it is.
    void write_library_error(response& res) const;
    void write_error(response& res, int status, const std::string& code,
                     const std::string& text) const;

    const settings& config;
    engine_host& host;
    metrics_registry& metrics;
    filter_chain submission_filters;
    httplib::Server server;
    socket_t listener = INVALID_SOCKET;
    std::thread thread;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> active_requests = 0;
};

} // namespace jujubedrum
