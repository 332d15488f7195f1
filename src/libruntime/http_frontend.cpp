#include "http_frontend.hpp"

#include "base/hash.hpp"
#include "connection_pool.hpp"
#include "listener_stop.hpp"
#include "logging.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <future>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// Maximum size of a request body. The configured bound on a submission cannot
/// exceed it.
constexpr std::size_t max_body_bytes = 8UL * 1024 * 1024;

/// Maximum number of requests on one connection. High, because a caller that
/// keeps its connection stays with the instance that issued its ids.
constexpr std::size_t max_requests_per_connection = 1'000'000;

/// Time after which an idle connection is closed. Until then it occupies a
/// thread and delays the stop; with 30 s, a few idle callers exhausted the
/// threads and delayed the stop.
constexpr seconds keep_alive_timeout{5};

/// Maximum wait at a stop for the pending connections to be accepted. Accepting
/// one takes microseconds.
constexpr milliseconds accept_timeout{1000};

/// Maximum number of pool threads for each configured HTTP thread. Idle
/// connections occupy threads; the surplus keeps threads free for new
/// connections when there are as many idle ones as configured threads.
constexpr std::size_t pool_threads_per_http_thread = 4;

/// Timeout of each read of a request and each write of a response.
constexpr seconds read_timeout{5};

/// Maximum time that a request waits for a reply of the engine.
constexpr milliseconds max_wait{60'000};

/// Time that the engine gets after a job's deadline to end the job.
constexpr milliseconds reply_margin{500};

std::string bearer_token(const httplib::Request& req)
{
    constexpr std::string_view prefix = "Bearer ";
    const std::string header = req.get_header_value("Authorization");
    return header.starts_with(prefix) ? header.substr(prefix.size()) : "";
}

milliseconds query_wait(const httplib::Request& req)
{
    const std::string text = req.get_param_value("wait_ms");
    if (text.empty() || text.size() > 6 ||
        !std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= '0' && c <= '9'; }))
    {
        return milliseconds(0);
    }
    return std::min(milliseconds(std::stol(text)), max_wait);
}

bool is_loopback(const std::string& address)
{
    return address.starts_with("127.") || address == "::1" ||
           address.starts_with("::ffff:127.");
}

/// Returns the part of a state dump that a team may read: general fields of the
/// instance and the team's own entry. Returns an error body unchanged.
std::string team_view(const std::string& dump, const std::string& team)
{
    const auto whole = nlohmann::json::parse(dump, nullptr, false);
    if (!whole.is_object() || whole.contains("error"))
    {
        return dump;
    }
    nlohmann::json part = {{"teams", nlohmann::json::object()}};
    for (const char* key : {"instance", "domain", "incarnation", "ready",
                            "draining", "revision", "time_us"})
    {
        part[key] = whole.value(key, nlohmann::json());
    }
    const auto teams = whole.value("teams", nlohmann::json::object());
    if (teams.contains(team))
    {
        part["teams"][team] = teams[team];
    }
    return part.dump();
}

/// Counts a request while it is in progress, unless it arrived while draining:
/// callers that continue to submit would otherwise delay the exit until the
/// drain timeout.
class request_counter
{
public:
    request_counter(std::atomic<std::size_t>& counter, bool draining)
        : count(counter)
        , increment(draining ? 0 : 1)
    {
        this->count += this->increment;
    }
    ~request_counter() { this->count -= this->increment; }
    request_counter(const request_counter&) = delete;
    request_counter& operator=(const request_counter&) = delete;

private:
    std::atomic<std::size_t>& count;
    std::size_t increment;
};

} // namespace

http_frontend::http_frontend(const settings& initial, engine_host& engine,
                             metrics_registry& registry)
    : config(initial)
    , host(engine)
    , metrics(registry)
    , submission_filters(filter_chain::for_submissions())
{
    this->configure();
    this->add_routes();
    this->add_admin_routes();
}

http_frontend::~http_frontend()
{
    this->stop();
}

std::optional<int> http_frontend::start()
{
    const std::string& address = this->config.listen_address();
    int port = this->config.http_port();
    if (port == 0)
    {
        port = this->server.bind_to_any_port(address.c_str());
    }
    else if (!this->server.bind_to_port(address.c_str(), port))
    {
        port = -1;
    }
    if (port < 0)
    {
        return std::nullopt;
    }
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    return port;
}

void http_frontend::stop()
{
    if (!this->thread.joinable())
    {
        return;
    }
    // Shutting down the listening socket resets connections that have not been
    // accepted yet, so they are accepted first.
    if (!listener_stop::refuse_new_connections(this->listener))
    {
        LOG(WARNING) << "http: cannot refuse new connections at the stop; they "
                        "may be reset; reason=\""
                     << std::strerror(errno) << "\"";
    }
    if (!listener_stop::wait_until_queue_empty(this->listener, accept_timeout))
    {
        LOG(WARNING)
            << "http: pending connections were not accepted in time and "
               "may be reset; limit_ms="
            << accept_timeout.count();
    }
    // Server::stop() would drop accepted connections whose request has not been
    // read yet. Shutting down only the listening socket lets the pool serve
    // them; idle connections are closed after the keep-alive timeout.
    ::shutdown(this->listener, SHUT_RD);
    this->thread.join();
}

void http_frontend::configure()
{
    const std::size_t threads = this->config.http_threads();
    this->server.new_task_queue = [threads]
    { return new connection_pool(threads * pool_threads_per_http_thread); };
    // Replaces the library's default options, which include SO_REUSEPORT: with
    // it, a second process could listen on the same port without an error.
    this->server.set_socket_options(
        [this](socket_t socket)
        {
            const int on = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            this->listener = socket;
        });
    this->server.set_tcp_nodelay(true);
    this->server.set_keep_alive_max_count(max_requests_per_connection);
    this->server.set_keep_alive_timeout(keep_alive_timeout.count());
    this->server.set_read_timeout(read_timeout);
    this->server.set_write_timeout(read_timeout);
    this->server.set_payload_max_length(max_body_bytes);
    this->server.set_error_handler([this](const request&, response& res)
                                   { this->write_library_error(res); });
    this->server.set_post_routing_handler(
        [this](const request&, response& res)
        {
            if (this->draining)
            {
                res.set_header("Connection", "close");
            }
        });
}

void http_frontend::add_routes()
{
    this->server.Post("/v1/ids", [this](const request& req, response& res)
                      { this->post_ids(req, res); });
    this->server.Post("/v1/jobs", [this](const request& req, response& res)
                      { this->post_job(req, res); });
    this->server.Get("/v1/jobs/([^/]+)",
                     [this](const request& req, response& res)
                     { this->get_job(req, res); });
    this->server.Delete("/v1/jobs/([^/]+)",
                        [this](const request& req, response& res)
                        { this->delete_job(req, res); });
}

void http_frontend::add_admin_routes()
{
    this->server.Get("/v1/admin/status",
                     [this](const request& req, response& res)
                     { this->get_status(req, res); });
    this->server.Get("/v1/admin/dump", [this](const request& req, response& res)
                     { this->get_dump(req, res); });
    this->server.Get("/metrics", [this](const request& req, response& res)
                     { this->get_metrics(req, res); });
    this->server.Get("/healthz", [](const request&, response& res)
                     { res.set_content("ok\n", "text/plain"); });
    this->server.Get(
        "/readyz",
        [this](const request&, response& res)
        {
            const bool ready = this->host.ready() && !this->draining;
            res.status = ready ? 200 : 503;
            res.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
        });
}

void http_frontend::post_ids(const request& req, response& res)
{
    const request_counter counted(this->active_requests, this->draining);
    if (!this->find_team(req, res))
    {
        return;
    }
    const auto body = nlohmann::json::parse(req.body, nullptr, false);
    std::uint64_t count = 1;
    if (body.is_object() && body.contains("count") &&
        body["count"].is_number_unsigned())
    {
        count = body["count"].get<std::uint64_t>();
    }
    else if (!req.body.empty())
    {
        this->write_error(res, 400, "malformed",
                          "/count: a whole number from 1 to 4096 is expected");
        return;
    }
    bool ring_full = false;
    const auto reply =
        this->post_and_wait(ids_event{0, count}, max_wait, ring_full);
    const auto* block = reply ? std::get_if<id_block>(&*reply) : nullptr;
    if (block == nullptr)
    {
        this->write_error(res, 503, "overloaded", "try again");
        return;
    }
    this->write_json(res, 200, block->to_json());
}

void http_frontend::post_job(const request& req, response& res)
{
    const request_counter counted(this->active_requests, this->draining);
    // Checked before the body is parsed, so that unauthenticated requests
    // cannot use processor time in the parser.
    if (!this->find_team(req, res))
    {
        return;
    }
    request_context context{
        this->host.config(), bearer_token(req), req.body, {}, microseconds(0)};
    if (const auto refused = this->submission_filters.apply(context))
    {
        this->write(res, *refused);
        return;
    }
    const std::string id = context.job->id();
    const auto time_left =
        std::chrono::duration_cast<milliseconds>(context.remaining);
    const milliseconds wait = std::min(
        context.job->wait().value_or(time_left + reply_margin), max_wait);
    submit_event next;
    next.job = std::move(*context.job);
    next.remaining = context.remaining;
    bool ring_full = false;
    const auto reply = this->post_and_wait(std::move(next), wait, ring_full);
    if (const auto* answer = reply ? std::get_if<api_reply>(&*reply) : nullptr)
    {
        this->write(res, *answer);
        return;
    }
    this->write(res,
                api_reply(id, ring_full ? outcome::not_run(
                                              outcome_reason::overloaded,
                                              "the event ring is full", true)
                                        : outcome::in_progress()));
}

void http_frontend::get_job(const request& req, response& res)
{
    this->handle_job_event<collect_event>(req, res, query_wait(req));
}

void http_frontend::delete_job(const request& req, response& res)
{
    this->handle_job_event<cancel_event>(req, res, max_wait);
}

template <typename Event>
void http_frontend::handle_job_event(const request& req, response& res,
                                     milliseconds wait)
{
    const request_counter counted(this->active_requests, this->draining);
    const auto team = this->find_team(req, res);
    if (!team)
    {
        return;
    }
    const std::string id = req.matches[1];
    bool ring_full = false;
    // Time for the event to reach the engine, or a peer and back, even if the
    // caller does not want to wait for the outcome.
    constexpr milliseconds min_wait{250};
    const auto reply = this->post_and_wait(Event{0, id, *team, 0},
                                           std::max(wait, min_wait), ring_full);
    if (const auto* answer = reply ? std::get_if<api_reply>(&*reply) : nullptr)
    {
        this->write(res, *answer);
        return;
    }
    this->write(res, api_reply(id, outcome::in_progress()));
}

std::optional<std::string> http_frontend::find_team(const request& req,
                                                    response& res) const
{
    // Until the configuration is loaded every token is unknown. Reporting that
    // would make callers take their token for revoked.
    if (!this->host.ready())
    {
        this->write_error(res, 503, "starting",
                          "the instance is starting; try again");
        return std::nullopt;
    }
    const std::string token = bearer_token(req);
    if (token.empty())
    {
        this->write_error(
            res, 401, "no_token",
            "send the team's token as Authorization: Bearer TOKEN");
        return std::nullopt;
    }
    auto team = team_of(this->host.config(), token);
    if (!team)
    {
        this->write_error(res, 401, "unknown_token", "the token is unknown");
    }
    return team;
}

std::optional<std::string> http_frontend::find_read_scope(const request& req,
                                                          response& res) const
{
    const auto& operators = this->config.operator_token_sha256();
    const std::string token = bearer_token(req);
    if (operators.empty() && !is_loopback(req.remote_addr))
    {
        this->write_error(res, 403, "loopback_only",
                          "without operator_token_sha256 in the settings, this "
                          "path is served on loopback only");
        return std::nullopt;
    }
    if (token.empty())
    {
        if (operators.empty())
        {
            return std::string();
        }
        this->write_error(res, 401, "no_token",
                          "send an operator's or a team's token as "
                          "Authorization: Bearer TOKEN");
        return std::nullopt;
    }
    if (contains_digest(operators, sha256_hex(token)))
    {
        return std::string();
    }
    auto team = team_of(this->host.config(), token);
    if (!team)
    {
        this->write_error(res, 401, "unknown_token", "the token is unknown");
    }
    return team;
}

void http_frontend::get_status(const request& req, response& res)
{
    if (this->find_read_scope(req, res))
    {
        this->write_report(res, this->host.status());
    }
}

void http_frontend::get_dump(const request& req, response& res)
{
    const auto scope = this->find_read_scope(req, res);
    if (scope)
    {
        const std::string dump = this->host.dump();
        this->write_report(res,
                           scope->empty() ? dump : team_view(dump, *scope));
    }
}

void http_frontend::get_metrics(const request& req, response& res)
{
    if (this->find_read_scope(req, res))
    {
        res.set_content(this->metrics.text(), "text/plain; version=0.0.4");
    }
}

template <typename Event>
std::optional<engine_reply>
http_frontend::post_and_wait(Event next, milliseconds wait, bool& ring_full)
{
    const auto answer = std::make_shared<std::promise<engine_reply>>();
    auto result = answer->get_future();
    next.token = this->host.replies().add(
        [answer](engine_reply reply) { answer->set_value(std::move(reply)); });
    const request_token token = next.token;
    ring_full = !this->host.try_post(std::move(next));
    if (ring_full || result.wait_for(wait) != std::future_status::ready)
    {
        this->host.replies().remove(token);
        return std::nullopt;
    }
    return result.get();
}

void http_frontend::write(response& res, const api_reply& reply) const
{
    this->write_json(res, reply.status(), reply.body());
}

void http_frontend::write_json(response& res, int status,
                               const std::string& body) const
{
    res.status = status;
    res.set_content(body, "application/json");
}

void http_frontend::write_report(response& res, const std::string& report) const
{
    const auto parsed = api_reply::parse(report);
    const bool failed = parsed && parsed->error() != nullptr;
    this->write_json(res, failed ? parsed->status() : 200, report);
}

void http_frontend::write_library_error(response& res) const
{
    if (!res.body.empty())
    {
        return;
    }
    switch (res.status)
    {
    case 404:
        this->write_error(res, 404, "unknown_route",
                          "no such path, or not with this method");
        return;
    case 413:
        this->write_error(res, 413, "too_large", "the body exceeds 8 MiB");
        return;
    case 500:
        this->write_error(res, 500, "internal", "the request failed");
        return;
    default:
        this->write_error(res, res.status, "bad_request",
                          "the request is not valid HTTP/1.1");
    }
}

void http_frontend::write_error(response& res, int status,
                                const std::string& code,
                                const std::string& text) const
{
    this->write(res, api_reply(api_error{status, code, text}));
}

} // namespace jujubedrum
