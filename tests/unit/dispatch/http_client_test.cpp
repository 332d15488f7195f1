#include "node/http_client.hpp"
#include "node/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};
constexpr milliseconds call_timeout{50};
constexpr milliseconds max_timeout{250};

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
        this->client = http_client::create(this->loop, "127.0.0.1",
                                           this->server.port(), 2);
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
    std::vector<std::shared_ptr<http_responder>> waiting;
    bool reply_at_once = false;
    http_server server{
        this->loop, "Deadline",
        [this](const http_request&, const std::shared_ptr<http_responder>& to)
        {
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
