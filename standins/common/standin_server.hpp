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

/// HTTP server that the stand-ins are derived from. Supports many keep-alive
/// connections and lets handlers close their connection without a reply.
class standin_server : public httplib::Server
{
public:
    /// \param max_connections connections served at once; further ones are
    /// accepted and queued.
    explicit standin_server(std::size_t max_connections);

    /// Listens on an address and port; port 0 selects a free one. Returns the
    /// port, or nothing if binding or listening fails.
    std::optional<int> bind(const std::string& address, int port);
    /// Closes the listening socket and stops reading from all connections.
    /// Requests in progress finish.
    void close();

    /// Closes the calling handler's connection without a reply.
    static void close_without_reply();
    /// Closes the calling handler's connection once its reply is sent.
    static void close_after_reply(httplib::Response& response);
    /// Returns a number that identifies the calling handler's connection
    /// while it is open, or -1 outside of a handler.
    static int connection();

protected:
    /// Called with the number of a connection that is no longer served, before
    /// its socket is closed.
    virtual void on_connection_closed(int /*connection*/) {}

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(connection_stream& stream);
    /// Parses sample requests before any thread is started. The HTTP library
    /// is built without the thread sanitizer, which therefore does not see the
    /// guards around the parser's static constants and would report a race on
    /// their initialisation.
    void prepare_parser();

    std::mutex mutex;
    std::set<int> connections;
    bool closing = false;
};

void reply_json(httplib::Response& response, int status,
                const nlohmann::json& body);
/// Parses a JSON object. If the text is not one, sets a 400 reply and returns
/// nothing.
std::optional<nlohmann::json> parse_object(const std::string& text,
                                           httplib::Response& response);
/// Returns an integer query parameter, or the fallback if it is absent. A
/// value that is not a number counts as 0.
long long query_number(const httplib::Request& request, const char* name,
                       long long fallback);
/// Blocks SIGTERM and SIGINT for `wait_for_stop_signal`. Call this before any
/// thread is started, as threads inherit the signal mask.
void block_stop_signals();
/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

} // namespace jujubedrum
