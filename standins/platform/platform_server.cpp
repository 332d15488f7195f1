#include "platform/platform_server.hpp"

#include <algorithm>
#include <chrono>

namespace jujubedrum
{

namespace
{

constexpr std::size_t max_connections = 1024;
constexpr long long max_poll_ms = 30000;
constexpr long long default_read_records = 1000;
constexpr long long max_read_records = 10000;
constexpr const char* records_path =
    "/v1/streams/([A-Za-z0-9_.:-]{1,64})/records";

instant now()
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

platform_server::platform_server(const platform_options& options)
    : standin_server(max_connections)
    , options(options)
    , append_limiter(options.max_appends_per_second)
{
    this->faults.list_lag_ms = options.list_lag_ms;
    this->instances.set_lag(milliseconds(options.list_lag_ms));
    this->Post(records_path, [this](const auto& request, auto& response)
               { this->append(request, response); });
    this->Get(records_path, [this](const auto& request, auto& response)
              { this->read(request, response); });
    this->Get("/v1/instances", [this](const auto& request, auto& response)
              { this->list(request, response); });
    this->Put("/control/instances/([^/]+)",
              [this](const auto& request, auto& response)
              { this->put_instance(request, response); });
    this->Put("/control/views/([^/]+)",
              [this](const auto& request, auto& response)
              { this->put_view(request, response); });
    this->Post("/control/faults", [this](const auto& request, auto& response)
               { this->set_faults(request, response); });
    this->Get("/control/faults",
              [this](const auto&, auto& response)
              {
                  const std::lock_guard lock(this->state_mutex);
                  reply_json(response, 200, this->faults.to_json());
              });
    this->Get("/control/counts",
              [this](const auto&, auto& response) { this->counts(response); });
}

void platform_server::shut_down()
{
    {
        const std::lock_guard lock(this->state_mutex);
        this->stopping = true;
        this->changed.notify_all();
    }
    this->close();
}

void platform_server::append(const httplib::Request& request,
                             httplib::Response& response)
{
    std::unique_lock lock(this->state_mutex);
    if (this->faults.down || this->consume_fault(this->faults.drop_appends))
    {
        close_without_reply();
        return;
    }
    const std::optional<microseconds> wait =
        this->append_limiter.reserve(now());
    if (!wait.has_value())
    {
        ++this->refused_appends;
        reply_json(response, 429, {{"error", "append rate exceeded"}});
        return;
    }
    this->apply_delay(lock, *wait + milliseconds(this->options.append_ms +
                                                 this->faults.append_delay_ms));
    if (this->faults.down || this->stopping)
    {
        close_without_reply();
        return;
    }
    ++this->appends;
    const std::uint64_t offset =
        this->stream(request.matches[1]).append(request.body, now());
    this->changed.notify_all();
    const bool lost = this->consume_fault(this->faults.lose_replies);
    this->apply_delay(lock, milliseconds(this->faults.delay_ms));
    if (lost || this->faults.down)
    {
        close_without_reply();
        return;
    }
    reply_json(response, 200, {{"offset", offset}});
}

void platform_server::read(const httplib::Request& request,
                           httplib::Response& response)
{
    const auto from = static_cast<std::uint64_t>(
        std::max(query_number(request, "from", 0), 0LL));
    const auto max = static_cast<std::size_t>(
        std::clamp(query_number(request, "max", default_read_records), 1LL,
                   max_read_records));
    const instant until =
        now() + milliseconds(std::clamp(query_number(request, "wait_ms", 0),
                                        0LL, max_poll_ms));
    std::unique_lock lock(this->state_mutex);
    ++this->reads;
    this->apply_delay(lock, milliseconds(this->faults.delay_ms));
    record_page page;
    while (true)
    {
        if (this->faults.down)
        {
            close_without_reply();
            return;
        }
        record_log& log = this->stream(request.matches[1]);
        log.expire(now());
        page = log.read(from, max,
                        static_cast<std::uint64_t>(this->faults.lag_records));
        const microseconds remaining = until - now();
        if (!page.records.empty() || this->stopping || remaining.count() <= 0)
        {
            break;
        }
        this->changed.wait_for(lock, remaining);
    }
    lock.unlock();
    nlohmann::json records = nlohmann::json::array();
    for (const auto& [offset, data] : page.records)
    {
        records.push_back({{"offset", offset}, {"data", data}});
    }
    reply_json(response, 200,
               {{"first_retained", page.first_retained},
                {"next", page.next},
                {"records", std::move(records)}});
}

void platform_server::list(const httplib::Request& request,
                           httplib::Response& response)
{
    const auto since = static_cast<std::uint64_t>(
        std::max(query_number(request, "since", 0), 0LL));
    std::unique_lock lock(this->state_mutex);
    ++this->list_reads;
    this->apply_delay(lock, milliseconds(this->faults.delay_ms));
    if (this->faults.down)
    {
        close_without_reply();
        return;
    }
    nlohmann::json reply = this->instances.read(since, now());
    const auto view = this->views.find(request.remote_addr);
    if (view != this->views.end())
    {
        for (nlohmann::json& entry : reply["changes"])
        {
            entry.update(view->second.value(entry["name"].get<std::string>(),
                                            nlohmann::json::object()));
        }
    }
    reply_json(response, 200, reply);
}

void platform_server::put_view(const httplib::Request& request,
                               httplib::Response& response)
{
    const auto body = parse_object(request.body, response);
    if (!body.has_value())
    {
        return;
    }
    const std::lock_guard lock(this->state_mutex);
    this->views[request.matches[1]] = *body;
    reply_json(response, 200, nlohmann::json::object());
}

void platform_server::put_instance(const httplib::Request& request,
                                   httplib::Response& response)
{
    const auto body = parse_object(request.body, response);
    if (!body.has_value())
    {
        return;
    }
    const std::lock_guard lock(this->state_mutex);
    const std::uint64_t version =
        this->instances.put(request.matches[1], *body, now());
    reply_json(response, 200, {{"version", version}});
}

void platform_server::set_faults(const httplib::Request& request,
                                 httplib::Response& response)
{
    const auto body = parse_object(request.body, response);
    if (!body.has_value())
    {
        return;
    }
    const std::lock_guard lock(this->state_mutex);
    this->faults.update(*body);
    this->instances.set_lag(milliseconds(this->faults.list_lag_ms));
    this->instances.set_frozen(this->faults.list_frozen, now());
    this->changed.notify_all();
    reply_json(response, 200, this->faults.to_json());
}

void platform_server::counts(httplib::Response& response)
{
    const std::lock_guard lock(this->state_mutex);
    reply_json(response, 200,
               {{"appends", this->appends},
                {"refused_appends", this->refused_appends},
                {"reads", this->reads},
                {"list_reads", this->list_reads}});
}

record_log& platform_server::stream(const std::string& name)
{
    return this->streams
        .try_emplace(name,
                     static_cast<std::size_t>(this->options.retain_records),
                     seconds(this->options.retain_seconds))
        .first->second;
}

void platform_server::apply_delay(std::unique_lock<std::mutex>& lock,
                                  microseconds time)
{
    if (time.count() <= 0)
    {
        return;
    }
    const auto until = std::chrono::steady_clock::now() + time;
    this->changed.wait_until(lock, until, [this] { return this->stopping; });
}

bool platform_server::consume_fault(long long& count)
{
    if (count <= 0)
    {
        return false;
    }
    --count;
    return true;
}

} // namespace jujubedrum
