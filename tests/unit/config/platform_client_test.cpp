#include "platform_client.hpp"

#include <functional>
#include <thread>

#include <httplib.h>

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;
using std::chrono::milliseconds;

BOOST_TEST_DONT_PRINT_LOG_VALUE(jujubedrum::platform_error)

namespace
{

// HTTP server on a free loopback port that answers every request with the same
// reply.
struct fixed_reply_server
{
    fixed_reply_server()
    {
        const auto handler =
            [this](const httplib::Request& request, httplib::Response& response)
        {
            this->path = request.target;
            this->body = request.body;
            std::this_thread::sleep_for(this->delay);
            response.status = this->status;
            response.set_content(this->reply, "application/json");
        };
        this->server.Get(".*", handler);
        this->server.Post(".*", handler);
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread =
            std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running())
        {
            std::this_thread::yield();
        }
    }

    ~fixed_reply_server()
    {
        this->server.stop();
        this->thread.join();
    }

    platform_client client(milliseconds reply_timeout = milliseconds(5000))
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(this->port),
                milliseconds(5000), reply_timeout};
    }

    int status = 200;
    milliseconds delay{0};
    std::string reply;
    std::string path;
    std::string body;
    int port = 0;
    httplib::Server server;
    std::thread thread;
    platform_reason why;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_client_suite, fixed_reply_server)

// Guards against a wrong path or a record changed in transit.
BOOST_AUTO_TEST_CASE(append_sends_record_returns_offset)
{
    this->reply = "{\"offset\":7}";
    auto client = this->client();
    BOOST_TEST(client.append("config", "{\"a\": 1}", this->why).value() == 7U);
    BOOST_TEST(this->path == "/v1/streams/config/records");
    BOOST_TEST(this->body == "{\"a\": 1}");
}

// Guards against losing records or the offset of the first retained one.
BOOST_AUTO_TEST_CASE(read_returns_page)
{
    this->reply = "{\"first_retained\":2,\"next\":4,\"records\":["
                  "{\"offset\":3,\"data\":\"x\"}]}";
    auto client = this->client();
    const auto page =
        client.read("claims.0", 3, 10, milliseconds(5), this->why);
    BOOST_REQUIRE(page);
    BOOST_TEST((*page == records_page{2, 4, {{3, "x"}}}));
    BOOST_TEST(this->path ==
               "/v1/streams/claims.0/records?from=3&max=10&wait_ms=5");
}

// Guards against a list entry that loses its address or state.
BOOST_AUTO_TEST_CASE(instances_returns_changes)
{
    this->reply = "{\"version\":5,\"full\":true,\"changes\":[{\"name\":\"b1\","
                  "\"role\":\"backend\",\"domain\":\"d1\","
                  "\"address\":\"127.0.0.1\",\"port\":9,"
                  "\"slots\":8,\"memory_mb\":512,\"state\":\"leaving\"}]}";
    auto client = this->client();
    const auto page = client.instances(4, this->why);
    BOOST_REQUIRE(page);
    BOOST_TEST(page->version == 5U);
    BOOST_TEST(page->full);
    BOOST_TEST(page->changes.at(0).port == 9U);
    BOOST_TEST((page->changes.at(0).state == listed_state::leaving));
    BOOST_TEST(this->path == "/v1/instances?since=4");
}

// Guards against reporting an append that may be on the log as refused.
BOOST_AUTO_TEST_CASE(append_errors_distinguish_refused_from_unknown)
{
    auto client = this->client();
    const auto code_of = [&](int status, const std::string& reply)
    {
        this->status = status;
        this->reply = reply;
        BOOST_TEST(!client.append("config", "{}", this->why));
        return this->why.code();
    };
    BOOST_TEST((code_of(503, "{}") == platform_error::refused));
    BOOST_TEST((code_of(502, "{}") == platform_error::timeout));
    BOOST_TEST((code_of(200, "{\"offset\":-1}") == platform_error::malformed));
    BOOST_TEST((code_of(200, "[") == platform_error::malformed));
}

// Guards against a reply whose copy exhausts the stack and ends the process.
BOOST_AUTO_TEST_CASE(append_deeply_nested_reply_is_read)
{
    constexpr std::size_t depth = 200'000;
    this->reply = R"({"offset":7,"x":)" + std::string(depth, '[') +
                  std::string(depth, ']') + "}";
    auto client = this->client();
    BOOST_TEST(client.append("config", "{}", this->why).value() == 7U);
}

// Guards against a call that blocks beyond its timeout on a slow platform.
BOOST_AUTO_TEST_CASE(append_slow_reply_times_out)
{
    this->reply = "{\"offset\":7}";
    this->delay = milliseconds(400);
    auto client = this->client(milliseconds(50));
    BOOST_TEST(!client.append("config", "{}", this->why));
    BOOST_TEST((this->why.code() == platform_error::timeout));
}

// Guards against a keep-alive connection that fails after 5 requests, the
// default limit of the server library.
BOOST_AUTO_TEST_CASE(append_many_calls_succeed)
{
    this->reply = "{\"offset\":7}";
    auto client = this->client();
    for (int i = 0; i < 20; ++i)
    {
        BOOST_TEST(client.append("config", "{}", this->why).has_value());
    }
}

// Guards against reporting a refused connection as an append that may be on
// the log.
BOOST_AUTO_TEST_CASE(append_no_server_unreachable)
{
    // Port 1 is privileged, so no test process listens on it.
    platform_client client("127.0.0.1", 1, milliseconds(2000),
                           milliseconds(2000));
    platform_reason reason;
    BOOST_TEST(!client.append("config", "{}", reason));
    BOOST_TEST((reason.code() == platform_error::unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
