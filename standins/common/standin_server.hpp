#pragma once

#include "common/connection_stream.hpp"

#include <cstddef>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace jujubedrum
{

/// HTTP server of the stand-ins: many keep-alive connections, and handlers
/// that can close their connection without a reply.
class standin_server : public httplib::Server
{
public:
    /// \param max_connections connections served at once; further ones wait.
    explicit standin_server(std::size_t max_connections);

    /// Binds to the address and port (0 picks a free one) and returns the
    /// port, or nothing if it is taken.
    std::optional<int> bind(const std::string& address, int port);
    /// Closes the listening socket and ends idle connections; requests in
    /// progress finish.
    void close();

    /// Closes the calling handler's connection without a reply.
    static void close_without_reply();
    /// Closes the calling handler's connection once its reply is sent.
    static void close_after_reply(httplib::Response& response);
    /// Returns a number that identifies the calling handler's connection
    /// while it is open.
    static int connection();

protected:
    /// Called after a connection is closed, with its number.
    virtual void on_connection_closed(int /*connection*/) {}

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(connection_stream& stream);
    /// Parses requests before any thread is started: the library is not built
    /// for the thread sanitizer, which then reports a race on the parser's
    /// constants, as it does not see the guard of their initialisation.
    void prepare_parser();

    std::mutex mutex;
    std::set<int> connections;
    bool closing = false;
};

/// Sets a JSON reply.
void reply_json(httplib::Response& response, int status,
                const nlohmann::json& body);
/// Parses a JSON object, or sets a 400 reply and returns nothing.
std::optional<nlohmann::json> parse_object(const std::string& text,
                                           httplib::Response& response);
/// Returns a query parameter that is a number, or the fallback.
long long query_number(const httplib::Request& request, const char* name,
                       long long fallback);
/// Blocks SIGTERM and SIGINT; call it before any thread is started.
void block_stop_signals();
/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

} // namespace jujubedrum
