#include "platform_link.hpp"

#include "engine/config_controller.hpp"
#include "logging.hpp"

#include <algorithm>
#include <utility>

namespace jujubedrum
{

namespace
{

/// Time from a failed read of stream `config` to the next one; doubles up to
/// the maximum.
constexpr milliseconds min_backoff{100};
constexpr milliseconds max_backoff{2000};

records_event to_event(const std::string& stream, std::uint64_t from,
                       records_page page, std::size_t page_size)
{
    records_event event;
    event.stream = stream;
    event.from = from;
    event.first_retained = page.first_retained;
    event.next = page.next;
    event.at_end = page.records.size() < page_size;
    event.records = std::move(page.records);
    return event;
}

} // namespace

platform_link::platform_link(const settings& initial, clock_function time,
                             post_function deliver)
    : config(initial)
    , clock(std::move(time))
    , post(std::move(deliver))
    , commands(ring_capacity)
    , config_client(this->make_client())
    , list_client(this->make_client())
{
    for (std::size_t i = 0; i < log_threads; ++i)
    {
        this->log_clients.push_back(this->make_client());
    }
}

platform_link::~platform_link()
{
    this->stop();
}

void platform_link::start()
{
    this->threads.emplace_back([this] { this->run_config_reader(); });
    this->threads.emplace_back([this] { this->run_list_reader(); });
    for (const auto& client : this->log_clients)
    {
        this->threads.emplace_back([this, &client]
                                   { this->run_log_worker(*client); });
    }
}

void platform_link::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_all();
    }
    this->commands.close();
    this->config_client->stop();
    this->list_client->stop();
    for (const auto& client : this->log_clients)
    {
        client->stop();
    }
    for (std::thread& thread : this->threads)
    {
        thread.join();
    }
    this->threads.clear();
}

void platform_link::submit(command next)
{
    if (this->commands.try_push(next))
    {
        return;
    }
    if (const auto* append = std::get_if<append_action>(&next))
    {
        this->post(append_event{append->stream, append->nonce, {}, true});
        return;
    }
    this->post(read_failed_event{std::get<read_action>(next).stream});
}

void platform_link::run_config_reader()
{
    std::uint64_t next = 0;
    milliseconds backoff = min_backoff;
    bool failing = false;
    for (;;)
    {
        platform_reason why;
        const instant requested_at = this->clock();
        auto page = this->config_client->read(
            config_controller::stream, next, max_page_records,
            this->config.tunables().config_poll_wait, why);
        if (!page)
        {
            if (!std::exchange(failing, true))
            {
                LOG(WARNING)
                    << "config: cannot read the log; retrying; reason=\""
                    << why.message() << "\"";
            }
            this->post(read_failed_event{config_controller::stream});
            // A lost read has already lasted for its time-out.
            const auto elapsed = std::chrono::duration_cast<milliseconds>(
                this->clock() - requested_at);
            if (!this->sleep_unless_stopping(
                    std::max(milliseconds(0), backoff - elapsed)))
            {
                return;
            }
            backoff = std::min(backoff * 2, max_backoff);
            continue;
        }
        if (std::exchange(failing, false))
        {
            LOG(INFO) << "config: the log can be read again";
        }
        backoff = min_backoff;
        const std::uint64_t from = next;
        next = std::max(next, page->next);
        this->post(to_event(config_controller::stream, from, std::move(*page),
                            max_page_records));
        if (!this->sleep_unless_stopping(milliseconds(0)))
        {
            return;
        }
    }
}

void platform_link::run_list_reader()
{
    std::uint64_t version = 0;
    bool failing = false;
    do
    {
        platform_reason why;
        const instant requested_at = this->clock();
        auto page = this->list_client->instances(version, why);
        if (page)
        {
            version = std::max(version, page->version);
            if (!page->malformed.empty())
            {
                LOG(WARNING) << "members: malformed entries of the platform's "
                                "list left out; count="
                             << page->malformed.size() << " first=\""
                             << page->malformed_reason << "\"";
            }
            this->post(list_event{std::move(*page), requested_at});
        }
        if (failing != !page.has_value())
        {
            failing = !page.has_value();
            LOG(INFO) << "members: the platform's list "
                      << (failing ? "cannot be read" : "can be read again")
                      << "; reason=\"" << why.message() << "\"";
        }
    } while (this->sleep_unless_stopping(
        this->config.tunables().list_poll_interval));
}

void platform_link::run_log_worker(platform_client& client)
{
    while (!this->commands.is_closed())
    {
        const auto next = this->commands.pop(seconds(1));
        if (!next)
        {
            continue;
        }
        if (const auto* append_command = std::get_if<append_action>(&*next))
        {
            this->append(client, *append_command);
        }
        else
        {
            this->read(client, std::get<read_action>(*next));
        }
    }
}

void platform_link::append(platform_client& client, const append_action& action)
{
    platform_reason why;
    append_event result;
    result.stream = action.stream;
    result.nonce = action.nonce;
    result.offset = client.append(action.stream, action.record, why);
    result.not_written =
        !result.offset && (why.code() == platform_error::unreachable ||
                           why.code() == platform_error::refused);
    if (!result.offset)
    {
        this->log_claim_error("append", action.stream, why);
    }
    this->post(std::move(result));
}

void platform_link::read(platform_client& client, const read_action& action)
{
    platform_reason why;
    auto page = client.read(action.stream, action.from, max_page_records,
                            milliseconds(0), why);
    if (!page)
    {
        this->log_claim_error("read", action.stream, why);
        this->post(read_failed_event{action.stream});
        return;
    }
    this->post(to_event(action.stream, action.from, std::move(*page),
                        max_page_records));
}

void platform_link::log_claim_error(const char* what, const std::string& stream,
                                    const platform_reason& why)
{
    if (const auto count = this->claim_error_limiter.count(what, this->clock()))
    {
        LOG(WARNING) << "claims: " << what << " failed; stream=" << stream
                     << " count=" << *count << " reason=\"" << why.message()
                     << "\"";
    }
}

bool platform_link::sleep_unless_stopping(milliseconds time)
{
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, time, [this] { return this->stopping; });
    return !this->stopping;
}

std::unique_ptr<platform_client> platform_link::make_client() const
{
    return std::make_unique<platform_client>(
        this->config.platform_address(), this->config.platform_port(),
        this->config.tunables().connect_timeout);
}

} // namespace jujubedrum
