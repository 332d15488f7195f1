#include "platform_client.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace jujubedrum
{

namespace
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

// Bounds the memory a faulty reply can take; a page of 1000 records of a few
// KB each stays far below it.
constexpr std::size_t max_reply_bytes = 64 * 1024 * 1024;

template <typename T>
bool read_number(const json& object, const char* key, T& value)
{
    const auto at = object.find(key);
    if (at == object.end() || !at->is_number_unsigned())
    {
        return false;
    }
    const auto number = at->get<std::uint64_t>();
    if (number > std::numeric_limits<T>::max())
    {
        return false;
    }
    value = static_cast<T>(number);
    return true;
}

template <typename T>
bool read_optional_number(const json& object, const char* key, T& value)
{
    return !object.contains(key) || read_number(object, key, value);
}

bool read_text(const json& object, const char* key, std::string& value)
{
    const auto at = object.find(key);
    if (at == object.end() || !at->is_string())
    {
        return false;
    }
    value = at->get<std::string>();
    return true;
}

bool read_optional_text(const json& object, const char* key, std::string& value)
{
    return !object.contains(key) || read_text(object, key, value);
}

json parse_object(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_object() ? value : json();
}

std::optional<records_page> parse_records(const std::string& text)
{
    const json reply = parse_object(text);
    records_page page;
    if (!reply.is_object() || !reply.contains("records") ||
        !reply["records"].is_array() ||
        !read_number(reply, "first_retained", page.first_retained) ||
        !read_number(reply, "next", page.next))
    {
        return std::nullopt;
    }
    for (const json& item : reply["records"])
    {
        log_record record;
        if (!item.is_object() || !read_number(item, "offset", record.offset) ||
            !read_text(item, "data", record.data))
        {
            return std::nullopt;
        }
        page.records.push_back(std::move(record));
    }
    return page;
}

std::optional<instance_change> parse_change(const json& item)
{
    instance_change change;
    if (!item.is_object() || !read_text(item, "name", change.name) ||
        !read_text(item, "state", change.state) ||
        !read_optional_text(item, "role", change.role) ||
        !read_optional_text(item, "domain", change.domain) ||
        !read_optional_text(item, "region", change.region) ||
        !read_optional_text(item, "address", change.address) ||
        !read_optional_number(item, "port", change.port) ||
        !read_optional_number(item, "rpc_port", change.rpc_port) ||
        !read_optional_number(item, "weight", change.weight) ||
        !read_optional_number(item, "slots", change.slots) ||
        !read_optional_number(item, "memory_mb", change.memory_mb))
    {
        return std::nullopt;
    }
    return change;
}

std::optional<list_page> parse_list(const std::string& text)
{
    const json reply = parse_object(text);
    list_page page;
    if (!reply.is_object() || !reply.contains("changes") ||
        !reply["changes"].is_array() || !reply.contains("full") ||
        !reply["full"].is_boolean() ||
        !read_number(reply, "version", page.version))
    {
        return std::nullopt;
    }
    page.full = reply["full"].get<bool>();
    for (const json& item : reply["changes"])
    {
        auto change = parse_change(item);
        if (!change)
        {
            return std::nullopt;
        }
        page.changes.push_back(std::move(*change));
    }
    return page;
}

platform_error error_of(httplib::Error error)
{
    switch (error)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return platform_error::unreachable;
    default:
        return platform_error::timeout;
    }
}

// A gateway's 500, 502 or 504 says nothing about the effect of the call, so
// only 4xx and 503 count as refusals.
platform_error error_of_status(int status)
{
    return status / 100 == 4 || status == 503 ? platform_error::refused
                                              : platform_error::timeout;
}

} // namespace

platform_client::platform_client(const std::string& address, std::uint16_t port,
                                 std::chrono::milliseconds connect_timeout,
                                 std::chrono::milliseconds reply_timeout)
    : reply_timeout(reply_timeout)
    , client(std::make_unique<httplib::Client>(address, port))
{
    this->client->set_connection_timeout(connect_timeout);
    this->client->set_write_timeout(reply_timeout);
    this->client->set_keep_alive(true);
    this->client->set_tcp_nodelay(true);
}

platform_client::~platform_client() = default;

std::optional<std::uint64_t> platform_client::append(const std::string& stream,
                                                     const std::string& record,
                                                     platform_reason& why)
{
    const std::string path = "/v1/streams/" + stream + "/records";
    const auto body = this->reply_body("POST", path, record,
                                       std::chrono::milliseconds(0), why);
    if (!body)
    {
        return std::nullopt;
    }
    const json reply = parse_object(*body);
    std::uint64_t offset = 0;
    if (!reply.is_object() || !read_number(reply, "offset", offset))
    {
        why = {platform_error::malformed, "POST " + path,
               "the reply holds no offset"};
        return std::nullopt;
    }
    return offset;
}

std::optional<records_page>
platform_client::read(const std::string& stream, std::uint64_t from,
                      std::size_t max, std::chrono::milliseconds wait,
                      platform_reason& why)
{
    const std::string path = "/v1/streams/" + stream +
                             "/records?from=" + std::to_string(from) +
                             "&max=" + std::to_string(max) +
                             "&wait_ms=" + std::to_string(wait.count());
    const auto body = this->reply_body("GET", path, "", wait, why);
    if (!body)
    {
        return std::nullopt;
    }
    auto page = parse_records(*body);
    if (!page)
    {
        why = {platform_error::malformed, "GET " + path,
               "the reply is no page of records"};
    }
    return page;
}

std::optional<list_page> platform_client::instances(std::uint64_t since,
                                                    platform_reason& why)
{
    const std::string path = "/v1/instances?since=" + std::to_string(since);
    const auto body =
        this->reply_body("GET", path, "", std::chrono::milliseconds(0), why);
    if (!body)
    {
        return std::nullopt;
    }
    auto page = parse_list(*body);
    if (!page)
    {
        why = {platform_error::malformed, "GET " + path,
               "the reply is no list of instances"};
    }
    return page;
}

void platform_client::stop()
{
    this->client->stop();
}

std::optional<std::string> platform_client::reply_body(
    const std::string& method, const std::string& path, const std::string& body,
    std::chrono::milliseconds wait, platform_reason& why)
{
    const auto limit = wait + this->reply_timeout;
    // The library's timeout holds for each read, so the receiver also checks
    // the total: a reply that trickles in must not hold the thread.
    const auto deadline = steady::now() + limit;
    this->client->set_read_timeout(limit);
    std::string reply;
    httplib::Request request;
    request.method = method;
    request.path = path;
    if (method == "POST")
    {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        reply.append(data, size);
        return reply.size() <= max_reply_bytes && steady::now() < deadline;
    };
    const httplib::Result result = this->client->send(request);
    if (!result)
    {
        why = {error_of(result.error()), method + " " + path,
               httplib::to_string(result.error())};
        return std::nullopt;
    }
    if (result->status / 100 != 2)
    {
        why = {error_of_status(result->status), method + " " + path,
               "status " + std::to_string(result->status)};
        return std::nullopt;
    }
    return reply;
}

} // namespace jujubedrum
