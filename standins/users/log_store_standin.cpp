#include "users/log_store_standin.hpp"

#include <algorithm>
#include <charconv>
#include <iostream>

#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

constexpr milliseconds read_expiry_interval{10};
const char* const append_path = "/v1/log-append";
const char* const servers_topic = "keyed.servers";

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i-- > 0;)
    {
        text += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return text;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    std::size_t at = target.find(name + "=", query);
    if (query == std::string::npos || at == std::string::npos)
    {
        return "";
    }
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

/// Returns the text with its percent-encoded bytes decoded.
std::string decode_percent(const std::string& text)
{
    constexpr std::size_t digits = 2;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned byte = 0;
        const char* first = text.data() + i + 1;
        if (text[i] == '%' && i + digits < text.size() &&
            std::from_chars(first, first + digits, byte, 16).ptr ==
                first + digits)
        {
            result += static_cast<char>(byte);
            i += digits;
            continue;
        }
        result += text[i];
    }
    return result;
}

template <typename T>
bool parse_number(const std::string& text, T& value)
{
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::string to_base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text)
    {
        bits = (bits << 8U) | static_cast<unsigned char>(c);
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            result += digits[(bits >> count) & 63U];
        }
    }
    if (count > 0)
    {
        result += digits[(bits << (6 - count)) & 63U];
    }
    while (result.size() % 4 != 0)
    {
        result += '=';
    }
    return result;
}

/// Returns the record of a backend server with its entry filtered. A record is
/// the length of the key in one byte, the key and the value, which is empty if
/// the key was removed.
std::string filter_record(const std::string& record,
                          const log_store_standin::entry_filter& filter)
{
    const std::size_t key_size = static_cast<unsigned char>(record.at(0));
    const std::string key = record.substr(1, key_size);
    const std::string value = record.substr(1 + key_size);
    return value.empty() ? record
                         : record.substr(0, 1 + key_size) + filter(key, value);
}

} // namespace

log_store_standin::log_store_standin(event_loop& events)
    : loop(events)
    , server(events, "X-None",
             [this](const http_request& request, const auto& responder)
             { this->serve(request, responder, nullptr); })
    , second_server(events, "X-None",
                    [this](const http_request& request, const auto& responder)
                    {
                        const bool list = parameter(request.target, "topic") ==
                                          "keyed.servers";
                        if (!this->second_unresponsive &&
                            !(list && this->second_server_list_unresponsive))
                        {
                            this->serve(request, responder, nullptr);
                        }
                    })
{
}

bool log_store_standin::listen()
{
    this->expire_reads();
    return this->server.listen("127.0.0.1", 0) &&
           this->second_server.listen("127.0.0.1", 0);
}

std::uint16_t log_store_standin::listen_filtered(entry_filter filter)
{
    auto access = std::make_unique<filtered_access>();
    access->filter = std::move(filter);
    access->server = std::make_unique<http_server>(
        this->loop, "X-None",
        [this, used = &access->filter](const http_request& request,
                                       const auto& responder)
        { this->serve(request, responder, used); });
    if (!access->server->listen("127.0.0.1", 0))
    {
        return 0;
    }
    this->filtered.push_back(std::move(access));
    return this->filtered.back()->server->port();
}

void log_store_standin::serve(const http_request& request,
                              const std::shared_ptr<http_responder>& responder,
                              const entry_filter* filter)
{
    ++this->call_count;
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string name = parameter(request.target, "topic");
    const bool answered = path == append_path || this->admit_read(name);
    if (this->active_fault == fault::unresponsive || !answered)
    {
        return;
    }
    if (this->active_fault == fault::busy)
    {
        responder->answer({503, ""});
        return;
    }
    if (path == append_path)
    {
        this->append(name, request.body, responder);
        return;
    }
    if (path == "/v1/log-newest")
    {
        this->loop.after(
            this->newest_delay,
            [this, name, responder, filter,
             after = decode_percent(parameter(request.target, "after"))]
            { this->answer_newest(name, after, filter, responder); });
        return;
    }
    std::uint64_t from = 0;
    long wait = 0;
    if (path != "/v1/log-read" ||
        !parse_number(parameter(request.target, "from"), from))
    {
        std::cerr << "store stand-in: bad path or read offset, replying 400: "
                  << request.method << " " << request.target << "\n";
        responder->answer({400, ""});
        return;
    }
    (void)parse_number(parameter(request.target, "waitMs"), wait);
    this->read({name, from, responder, instant{0}, filter}, milliseconds(wait));
}

bool log_store_standin::admit_read(const std::string& name)
{
    read_history& history = this->received_reads[name];
    const instant now = event_loop::now();
    const bool in_time = this->max_read_gap.count() == 0 ||
                         now - history.last_at <= this->max_read_gap;
    ++history.count;
    history.last_at = now;
    return in_time;
}

std::uint64_t log_store_standin::reads_of(const std::string& topic) const
{
    const auto found = this->received_reads.find(topic);
    return found == this->received_reads.end() ? 0 : found->second.count;
}

void log_store_standin::append(const std::string& name, const std::string& body,
                               const std::shared_ptr<http_responder>& responder)
{
    constexpr std::size_t length_bytes = 4;
    const std::uint64_t offset = this->topics[name].end();
    for (std::size_t at = 0; at + length_bytes <= body.size();)
    {
        std::size_t size = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
        {
            size = (size << 8U) | static_cast<unsigned char>(body[at + i]);
        }
        this->append_record(name, body.substr(at + length_bytes, size));
        at += length_bytes + size;
    }
    if (this->active_fault == fault::lost_replies)
    {
        return;
    }
    responder->answer({200, nlohmann::json{{"offset", offset},
                                           {"end", this->topics[name].end()}}
                                .dump()});
}

void log_store_standin::append_record(const std::string& name,
                                      const std::string& record)
{
    this->topics[name].records.push_back(record);
    this->answer_ready_reads();
}

void log_store_standin::put_keyed(const std::string& name,
                                  const std::string& key,
                                  const std::string& value)
{
    topic& target = this->topics[name];
    if (value.empty())
    {
        target.newest.erase(key);
    }
    else
    {
        target.newest[key] = value;
    }
    this->append_record(name, static_cast<char>(key.size()) + key + value);
}

void log_store_standin::publish(const std::string& config_json)
{
    this->put_keyed("keyed.op", "config", config_json);
}

void log_store_standin::set_evacuated(const std::string& domain, bool value)
{
    this->put_keyed("keyed.op", "evacuate/" + domain, value ? "{}" : "");
}

void log_store_standin::write_server(const std::string& id,
                                     const std::string& entry)
{
    this->put_keyed(servers_topic, id, entry);
}

void log_store_standin::compact()
{
    for (auto& [name, target] : this->topics)
    {
        target.first = target.end();
        target.records.clear();
    }
}

void log_store_standin::read(waiting_read request, milliseconds wait)
{
    if (wait.count() == 0 || request.from < this->topics[request.name].end())
    {
        this->answer_read(request);
        return;
    }
    request.until = event_loop::now() + wait;
    this->reads.push_back(std::move(request));
}

void log_store_standin::answer_read(const waiting_read& request)
{
    const topic& target = this->topics[request.name];
    if (request.from < target.first)
    {
        request.responder->answer(
            {410, nlohmann::json{{"first", target.first}}.dump()});
        return;
    }
    std::string body =
        big_endian(target.end(), 8) + big_endian(target.first, 8);
    const bool filters =
        request.filter != nullptr && request.name == servers_topic;
    for (std::uint64_t at = request.from; at < target.end(); ++at)
    {
        std::string record = target.records[at - target.first];
        if (filters)
        {
            record = filter_record(record, *request.filter);
        }
        body += big_endian(record.size(), 4) + record;
    }
    request.responder->answer({200, body});
}

void log_store_standin::answer_newest(
    const std::string& name, const std::string& after,
    const entry_filter* filter,
    const std::shared_ptr<http_responder>& responder)
{
    const topic& target = this->topics[name];
    nlohmann::json items = nlohmann::json::array();
    auto at = after.empty() ? target.newest.begin()
                            : target.newest.upper_bound(after);
    for (; at != target.newest.end() && items.size() < this->page_size; ++at)
    {
        const bool filters = filter != nullptr && name == servers_topic;
        const std::string value =
            filters ? (*filter)(at->first, at->second) : at->second;
        items.push_back(
            {{"key", at->first}, {"value", to_base64(value)}, {"offset", 0}});
    }
    responder->answer(
        {200, nlohmann::json{{"items", items},
                             {"hasMore", at != target.newest.end()},
                             {"end", target.end()}}
                  .dump()});
}

void log_store_standin::answer_ready_reads()
{
    const auto pending = std::move(this->reads);
    this->reads.clear();
    for (const waiting_read& each : pending)
    {
        if (each.from < this->topics[each.name].end())
        {
            this->answer_read(each);
            continue;
        }
        this->reads.push_back(each);
    }
}

void log_store_standin::expire_reads()
{
    const instant now = event_loop::now();
    const auto pending = std::move(this->reads);
    this->reads.clear();
    for (const waiting_read& each : pending)
    {
        if (each.until <= now)
        {
            this->answer_read(each);
            continue;
        }
        this->reads.push_back(each);
    }
    this->loop.after(read_expiry_interval, [this] { this->expire_reads(); });
}

} // namespace jujubedrum
