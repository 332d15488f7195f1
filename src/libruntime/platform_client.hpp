#pragma once

#include "membership/instance_page.hpp"
#include "platform_error.hpp"
#include "platform_types.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace httplib
{
class Client;
} // namespace httplib

namespace jujubedrum
{

/// HTTP client of the platform: log streams and the list of instances. Makes
/// no retries. An object serves one thread; use one for each reader.
class platform_client
{
public:
    /// \param address numeric IP address of the platform.
    /// \param connect_timeout limit for setting up a connection.
    /// \param reply_timeout limit for a reply, beyond the wait asked for.
    platform_client(const std::string& address, std::uint16_t port,
                    std::chrono::milliseconds connect_timeout =
                        std::chrono::milliseconds(500),
                    std::chrono::milliseconds reply_timeout =
                        std::chrono::milliseconds(3000));
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Appends a record to the stream and returns its offset.
    std::optional<std::uint64_t> append(const std::string& stream,
                                        const std::string& record,
                                        platform_reason& why);

    /// Reads records of the stream from an offset on.
    /// \param max largest number of records in the page.
    /// \param wait how long the platform may wait for a first record.
    std::optional<records_page> read(const std::string& stream,
                                     std::uint64_t from, std::size_t max,
                                     std::chrono::milliseconds wait,
                                     platform_reason& why);

    /// Reads the changes of the list since a version; 0 reads all of it.
    std::optional<instance_page> instances(std::uint64_t since,
                                           platform_reason& why);

    /// Breaks off a call in progress on another thread, which then fails with
    /// `timeout`.
    void stop();

private:
    std::optional<std::string> reply_body(const std::string& method,
                                          const std::string& path,
                                          const std::string& body,
                                          std::chrono::milliseconds wait,
                                          platform_reason& why);

    std::chrono::milliseconds reply_timeout;
    std::unique_ptr<httplib::Client> client;
};

} // namespace jujubedrum
