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

/// The HTTP interface of an entry instance for callers and operators.
class http_frontend
{
public:
    http_frontend(const settings& settings, engine_host& host,
                  metrics_registry& metrics);
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;

    /// Starts to serve. Returns the port, or nothing if it cannot listen.
    std::optional<int> start();
    /// Answers every request with `Connection: close` from now on.
    void drain() { this->draining = true; }
    /// Returns the number of requests being served that came before draining.
    [[nodiscard]] std::size_t active() const { return this->active_requests; }
    /// Ends requests in progress, then stops.
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
    /// Returns the team of the token. Writes an error and returns nothing if
    /// there is none, or if the instance is not ready yet.
    std::optional<std::string> find_team(const request& req,
                                         response& res) const;
    /// Returns whose part of the state the request may read: a team, or the
    /// empty string for all. Writes an error and returns nothing if none.
    std::optional<std::string> find_read_scope(const request& req,
                                               response& res) const;
    void get_dump(const request& req, response& res);
    void get_status(const request& req, response& res);
    void get_metrics(const request& req, response& res);
    /// Hands an event to the engine and waits for the reply. Returns nothing
    /// after the wait.
    template <typename Event>
    std::optional<engine_reply> post_and_wait(Event next, milliseconds wait,
                                              bool& ring_full);
    void write(response& res, const api_reply& reply) const;
    void write_json(response& res, int status, const std::string& body) const;
    /// Writes a report of the engine, which may be an error body.
    void write_report(response& res, const std::string& report) const;
    /// Gives an error of the HTTP library the common body.
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
