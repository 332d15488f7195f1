#include "backend_client.hpp"

#include <thread>

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

/// A backend server that sends the same reply to each task.
struct backend_client_fixture
{
    backend_client_fixture()
    {
        this->server.Post(
            "/v1/tasks",
            [this](const httplib::Request&, httplib::Response& response)
            { response.set_content(this->reply, "application/json"); });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread =
            std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running())
        {
            std::this_thread::yield();
        }
    }

    ~backend_client_fixture()
    {
        this->server.stop();
        this->thread.join();
    }

    task_reply send(const std::string& text)
    {
        this->reply = text;
        task_request request;
        request.address = "127.0.0.1";
        request.port = this->port;
        request.task = "a/0";
        request.payload = "1";
        request.timeout = milliseconds(10000);
        return this->client.send(request);
    }

    httplib::Server server;
    int port = 0;
    std::string reply;
    std::thread thread;
    backend_client client{milliseconds(5000)};
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(backend_client_suite, backend_client_fixture)

// Guards against a result of a task that ends the process: serialising or
// copying it recurses once for each level.
BOOST_AUTO_TEST_CASE(send_deeply_nested_reply_fails_the_task)
{
    constexpr std::size_t depth = 200'000;
    const auto reply_with =
        [](const std::string& task, const std::string& result)
    { return R"({"task":)" + task + R"(,"result":)" + result + "}"; };
    BOOST_TEST((this->send(reply_with(R"("a/0")", nested(64))).status ==
                send_status::answered));
    BOOST_TEST((this->send(reply_with(R"("a/0")", nested(65))).status ==
                send_status::task_failed));
    BOOST_TEST((this->send(reply_with(R"("a/0")", nested(depth))).status ==
                send_status::task_failed));
    BOOST_TEST((this->send(reply_with(nested(depth), "1")).status ==
                send_status::unknown));
}

// Guards against a run time whose conversion is undefined behavior.
BOOST_AUTO_TEST_CASE(send_odd_run_time_is_ignored)
{
    for (const char* run_ms :
         {"1e308", "-1", "18446744073709551616", "true", "\"5\"", "[]", "null"})
    {
        const task_reply answer =
            this->send(R"({"task":"a/0","result":1,"run_ms":)" +
                       std::string(run_ms) + "}");
        BOOST_TEST((answer.status == send_status::answered));
        BOOST_TEST(answer.run_time.count() == 0);
    }
    BOOST_TEST(this->send(R"({"task":"a/0","result":1,"run_ms":2.5})")
                   .run_time.count() == 2500);
}

BOOST_AUTO_TEST_SUITE_END()
