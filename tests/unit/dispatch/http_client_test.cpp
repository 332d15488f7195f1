#include "node/http_client.hpp"
#include "node/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};
constexpr milliseconds call_timeout{50};
constexpr milliseconds max_timeout{250};
constexpr std::size_t max_connections = 2;

/// A client, and a server whose replies are sent by the test.
struct http_client_fixture
{
    http_client_fixture()
    {
        BOOST_REQUIRE(this->server.listen("127.0.0.1", 0));
        request_limits limits;
        limits.header_bytes = 1024;
        limits.body_bytes = 4096;
        this->server.set_limits(limits);
        this->client = http_client::create(
            this->loop, "127.0.0.1", this->server.port(), max_connections);
    }
    ~http_client_fixture() { this->client->close(); }

    /// Calls the server and waits for the result of the call.
    http_reply call()
    {
        http_call request;
        request.method = "POST";
        request.target = "/";
        request.body = "x";
        request.timeout = call_timeout;
        request.replied_at_once = true;
        std::optional<http_reply> result;
        this->client->call(request, [&result](http_reply reply)
                           { result = std::move(reply); });
        BOOST_REQUIRE(this->loop.run_until([&] { return result.has_value(); },
                                           wait_timeout));
        return *result;
    }

    event_loop loop;
    std::multiset<std::string> targets; ///< of the requests that arrived
    std::vector<std::shared_ptr<http_responder>> waiting;
    bool reply_at_once = false;
    http_server server{this->loop, "Deadline",
                       [this](const http_request& request,
                              const std::shared_ptr<http_responder>& to)
                       {
                           this->targets.insert(request.target);
                           if (this->reply_at_once)
                           {
                               to->answer({200, ""});
                               return;
                           }
                           this->waiting.push_back(to);
                       }};
    std::shared_ptr<http_client> client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_suite, http_client_fixture)

// Guards against a full link that carries less and less: each late reply closed
// its connection, and each call opened another one (small twins of
// ssw-rake-large, 2026-12-05: 23,227 connections for 4,732 requests).
BOOST_AUTO_TEST_CASE(connection_reply_late_serves_next_call)
{
    BOOST_CHECK(this->call().result == http_result::no_reply);
    BOOST_REQUIRE(this->loop.run_until([&] { return !this->waiting.empty(); },
                                       wait_timeout));
    this->waiting.front()->answer({200, ""});
    BOOST_REQUIRE(this->loop.run_until(
        [&]
        {
            return this->client->round_trips().timeout(
                       milliseconds(0), max_timeout) > milliseconds(0);
        },
        wait_timeout));
    this->reply_at_once = true;
    BOOST_CHECK(this->call().result == http_result::replied);
    BOOST_TEST(this->client->connections_opened() == 1U);
}

// A late reply belongs to the call that timed out, not to a later one.
BOOST_AUTO_TEST_CASE(connection_reply_outstanding_is_not_used)
{
    BOOST_CHECK(this->call().result == http_result::no_reply);
    this->reply_at_once = true;
    BOOST_CHECK(this->call().result == http_result::replied);
    BOOST_TEST(this->client->connections_opened() == 2U);
}

// A server that never replies must not keep more connections than allowed.
BOOST_AUTO_TEST_CASE(connections_no_replies_oldest_are_closed)
{
    constexpr std::size_t calls = http_client::max_late_connections + 3;
    for (std::size_t i = 0; i < calls; ++i)
    {
        BOOST_CHECK(this->call().result == http_result::no_reply);
    }
    BOOST_CHECK(this->loop.run_until(
        [&] {
            return this->server.connections() <=
                   http_client::max_late_connections;
        },
        wait_timeout));
}

// Guards against a request that is sent, and may be carried out, after its time
// is over: it has waited for a connection for longer than its time-out.
BOOST_AUTO_TEST_CASE(call_waited_past_its_timeout_is_not_sent)
{
    http_call request;
    request.method = "POST";
    request.target = "/long";
    request.body = "x";
    request.timeout = wait_timeout;
    std::size_t replied = 0;
    for (std::size_t i = 0; i < max_connections; ++i)
    {
        this->client->call(request,
                           [&replied](const http_reply& reply) {
                               replied += reply.result == http_result::replied;
                           });
    }
    BOOST_REQUIRE(this->loop.run_until(
        [&] { return this->waiting.size() == max_connections; }, wait_timeout));
    std::optional<http_reply> result;
    request.target = "/short";
    request.timeout = call_timeout;
    this->client->call(request, [&result](http_reply reply)
                       { result = std::move(reply); });
    this->loop.run_until([] { return false; }, 2 * call_timeout);
    for (const auto& responder : this->waiting)
    {
        responder->answer({200, ""});
    }
    BOOST_REQUIRE(
        this->loop.run_until([&] { return result.has_value(); }, wait_timeout));
    BOOST_CHECK(result->result == http_result::not_sent);
    this->reply_at_once = true;
    BOOST_CHECK(this->call().result == http_result::replied);
    BOOST_TEST(replied == max_connections);
    BOOST_TEST(this->targets.size() == max_connections + 1);
    BOOST_TEST(this->targets.count("/short") == 0U);
}

// Guards against a result that is reported only once a connection gets free.
BOOST_AUTO_TEST_CASE(call_waiting_times_out_while_connections_are_busy)
{
    http_call request;
    request.target = "/long";
    request.timeout = 2 * wait_timeout;
    for (std::size_t i = 0; i < max_connections; ++i)
    {
        this->client->call(request, [](const http_reply&) {});
    }
    BOOST_CHECK(this->call().result == http_result::not_sent);
    BOOST_REQUIRE(this->loop.run_until(
        [&] { return this->waiting.size() == max_connections; }, wait_timeout));
}

// Guards against the same when the process was frozen while it connected.
BOOST_AUTO_TEST_CASE(call_connected_past_its_timeout_is_not_sent)
{
    http_call request;
    request.target = "/short";
    request.timeout = call_timeout;
    std::optional<http_reply> result;
    this->client->call(request, [&result](http_reply reply)
                       { result = std::move(reply); });
    std::this_thread::sleep_for(2 * call_timeout);
    BOOST_REQUIRE(
        this->loop.run_until([&] { return result.has_value(); }, wait_timeout));
    BOOST_CHECK(result->result == http_result::not_sent);
    this->reply_at_once = true;
    BOOST_CHECK(this->call().result == http_result::replied);
    BOOST_TEST(this->targets.count("/short") == 0U);
}

// Guards against a late reply that is taken for that of a later call.
BOOST_AUTO_TEST_CASE(late_reply_content_is_dropped)
{
    BOOST_CHECK(this->call().result == http_result::no_reply);
    BOOST_REQUIRE(this->loop.run_until([&] { return !this->waiting.empty(); },
                                       wait_timeout));
    this->waiting.front()->answer({409, "late"});
    BOOST_REQUIRE(this->loop.run_until(
        [&]
        {
            return this->client->round_trips().timeout(
                       milliseconds(0), max_timeout) > milliseconds(0);
        },
        wait_timeout));
    this->reply_at_once = true;
    const http_reply next = this->call();
    BOOST_CHECK(next.result == http_result::replied);
    BOOST_TEST(next.status == 200);
    BOOST_TEST(next.body == "");
    BOOST_TEST(this->client->connections_opened() == 1U);
}

// Guards against a slow reply that is lost because silence ended its call.
BOOST_AUTO_TEST_CASE(call_silent_is_reported_once_and_still_gets_its_reply)
{
    http_call request;
    request.target = "/slow";
    request.timeout = wait_timeout;
    request.silence_timeout = call_timeout;
    std::size_t silences = 0;
    request.on_silence = [&silences] { ++silences; };
    std::optional<http_reply> result;
    this->client->call(request, [&result](http_reply reply)
                       { result = std::move(reply); });
    BOOST_REQUIRE(
        this->loop.run_until([&] { return silences > 0; }, wait_timeout));
    this->loop.run_until([] { return false; }, 3 * call_timeout);
    BOOST_REQUIRE(this->waiting.size() == 1U);
    this->waiting.front()->answer({200, "slow"});
    BOOST_REQUIRE(
        this->loop.run_until([&] { return result.has_value(); }, wait_timeout));
    BOOST_TEST(result->body == "slow");
    BOOST_TEST(silences == 1U);
    BOOST_TEST(this->client->connections_opened() == 1U);
}

// Guards against a call on a connection that has gone silent while it was idle.
BOOST_AUTO_TEST_CASE(call_on_new_connection_closes_idle_ones)
{
    this->reply_at_once = true;
    BOOST_CHECK(this->call().result == http_result::replied);
    http_call request;
    request.target = "/again";
    request.timeout = wait_timeout;
    request.new_connection = true;
    std::optional<http_reply> result;
    this->client->call(request, [&result](http_reply reply)
                       { result = std::move(reply); });
    BOOST_REQUIRE(
        this->loop.run_until([&] { return result.has_value(); }, wait_timeout));
    BOOST_CHECK(result->result == http_result::replied);
    BOOST_TEST(this->client->connections_opened() == 2U);
    BOOST_CHECK(this->loop.run_until(
        [&] { return this->server.connections() == 1; }, wait_timeout));
}

// Guards against a reply that stops in the middle and is not noticed.
BOOST_AUTO_TEST_CASE(call_silent_in_the_middle_of_its_reply_is_reported)
{
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(this->loop.context(),
                           {boost::asio::ip::address_v4::loopback(), 0});
    tcp::socket socket(this->loop.context());
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab";
    acceptor.async_accept(socket,
                          [&](const boost::system::error_code& error)
                          {
                              BOOST_REQUIRE(!error);
                              boost::asio::write(socket,
                                                 boost::asio::buffer(head));
                          });
    const auto caller = http_client::create(
        this->loop, "127.0.0.1", acceptor.local_endpoint().port(), 1);
    http_call request;
    request.target = "/";
    request.timeout = wait_timeout;
    request.silence_timeout = call_timeout;
    bool silent = false;
    request.on_silence = [&silent] { silent = true; };
    std::optional<http_reply> result;
    caller->call(request,
                 [&result](http_reply reply) { result = std::move(reply); });
    BOOST_REQUIRE(this->loop.run_until([&] { return silent; }, wait_timeout));
    BOOST_TEST(!result.has_value());
    boost::asio::write(socket, boost::asio::buffer("cd", 2));
    BOOST_REQUIRE(
        this->loop.run_until([&] { return result.has_value(); }, wait_timeout));
    BOOST_TEST(result->body == "abcd");
    caller->close();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
