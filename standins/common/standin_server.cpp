#include "common/standin_server.hpp"

#include "common/dynamic_thread_pool.hpp"
#include "common/regex_locale.hpp"
#include "common/text_stream.hpp"

#include <csignal>
#include <cstdlib>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubedrum
{

namespace
{

constexpr std::chrono::seconds keep_alive_timeout(5);
constexpr std::size_t max_keep_alive_requests = 1000000000;
constexpr std::size_t max_payload_bytes = 16U << 20U;
// With the library's default of 5, the kernel drops connection attempts during
// a burst, and clients wait a second or more for the retransmission.
constexpr int listen_backlog = 1024;

thread_local connection_stream* current_stream = nullptr;

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

standin_server::standin_server(std::size_t max_connections)
{
    prepare_regex_locale();
    this->prepare_parser();
    this->new_task_queue = [max_connections]
    { return new dynamic_thread_pool(max_connections); };
    this->set_tcp_nodelay(true);
    this->set_keep_alive_max_count(max_keep_alive_requests);
    this->set_keep_alive_timeout(keep_alive_timeout.count());
    this->set_payload_max_length(max_payload_bytes);
    this->set_exception_handler(
        [](const httplib::Request&, httplib::Response& response,
           std::exception_ptr error)
        {
            std::string text = "unknown error";
            try
            {
                std::rethrow_exception(error);
            }
            catch (const std::exception& e)
            {
                text = e.what();
            }
            catch (...)
            {
            }
            reply_json(response, 400, {{"error", text}});
        });
}

std::optional<int> standin_server::bind(const std::string& address, int port)
{
    if (port == 0)
    {
        port = this->bind_to_any_port(address);
    }
    else if (!this->bind_to_port(address, port))
    {
        return std::nullopt;
    }
    if (port <= 0 || ::listen(this->svr_sock_, listen_backlog) != 0)
    {
        return std::nullopt;
    }
    return port;
}

void standin_server::close()
{
    // `stop` has no effect until the listening thread runs its accept loop.
    for (int tries = 0; tries < 1000 && !this->is_running(); ++tries)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    this->stop();
    const std::lock_guard lock(this->mutex);
    this->closing = true;
    for (const int socket : this->connections)
    {
        ::shutdown(socket, SHUT_RD);
    }
}

void standin_server::close_without_reply()
{
    if (current_stream != nullptr)
    {
        current_stream->close_without_reply();
    }
}

void standin_server::close_after_reply(httplib::Response& response)
{
    response.set_header("Connection", "close");
    if (current_stream != nullptr)
    {
        current_stream->set_last_reply();
    }
}

int standin_server::connection()
{
    return current_stream == nullptr ? -1 : current_stream->socket();
}

bool standin_server::process_and_close_socket(socket_t socket)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->closing)
        {
            ::close(socket);
            return false;
        }
        this->connections.insert(socket);
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connection_stream stream(socket);
    current_stream = &stream;
    this->serve(stream);
    current_stream = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        this->connections.erase(socket);
    }
    this->on_connection_closed(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void standin_server::prepare_parser()
{
    for (const char* request :
         {"GET /?a=b HTTP/1.1\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"})
    {
        text_stream stream(request);
        bool closed = false;
        this->process_request(stream, true, closed, nullptr);
    }
}

void standin_server::serve(connection_stream& stream)
{
    bool closed = false;
    while (!closed && stream.wait_readable(keep_alive_timeout))
    {
        const bool served =
            this->process_request(stream, false, closed, nullptr);
        if (!stream.flush() || !served || stream.ended())
        {
            return;
        }
    }
}

void reply_json(httplib::Response& response, int status,
                const nlohmann::json& body)
{
    response.status = status;
    response.set_content(
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        "application/json");
}

std::optional<nlohmann::json> parse_object(const std::string& text,
                                           httplib::Response& response)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        reply_json(response, 400, {{"error", "body is not a JSON object"}});
        return std::nullopt;
    }
    return value;
}

long long query_number(const httplib::Request& request, const char* name,
                       long long fallback)
{
    if (!request.has_param(name))
    {
        return fallback;
    }
    return std::strtoll(request.get_param_value(name).c_str(), nullptr, 10);
}

void block_stop_signals()
{
    const sigset_t set = stop_signals();
    ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_stop_signal()
{
    const sigset_t set = stop_signals();
    int signal = 0;
    ::sigwait(&set, &signal);
}

} // namespace jujubedrum
