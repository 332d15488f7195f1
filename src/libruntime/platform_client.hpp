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

/// HTTP client of the platform: log streams and the list of instances. Does not
/// retry. Not thread-safe, except for `stop()`; each thread needs its own.
class platform_client
{
public:
    /// \param address numeric IP address of the platform.
    /// \param connect_timeout bound on establishing a connection.
    /// \param reply_timeout bound on the time to a complete reply, in addition
    /// to the requested wait.
    platform_client(const std::string& address, std::uint16_t port,
                    std::chrono::milliseconds connect_timeout =
                        std::chrono::milliseconds(500),
                    std::chrono::milliseconds reply_timeout =
                        std::chrono::milliseconds(3000));
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Appends a record to the stream and returns its offset. Returns nothing
    /// and sets `why` if that fails, as the other calls do; `platform_error`
    /// says whether the record may have been written.
    std::optional<std::uint64_t> append(const std::string& stream,
                                        const std::string& record,
                                        platform_reason& why);

    /// Reads a page of the stream's records, starting at an offset.
    /// \param max maximum number of records in the page.
    /// \param wait maximum time that the platform waits for a first record.
    std::optional<records_page> read(const std::string& stream,
                                     std::uint64_t from, std::size_t max,
                                     std::chrono::milliseconds wait,
                                     platform_reason& why);

    /// Reads the changes of the list of instances since a version; 0 reads the
    /// whole list.
    std::optional<instance_page> instances(std::uint64_t since,
                                           platform_reason& why);

    /// Aborts a call in progress on another thread, which then fails with
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
