#include "common/standin_server.hpp"
#include "scenarios/http_call.hpp"
#include "scenarios/relay_hub.hpp"
#include "scenarios/waiting.hpp"

#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

struct relay_fixture
{
    relay_fixture()
    {
        this->server.Get("/", [](const auto& request, auto& response)
                         { response.set_content(request.remote_addr, "t"); });
        this->port = this->hub.add(this->server.bind("127.0.0.1", 0).value(),
                                   "127.0.1.7");
        this->thread =
            std::thread([this] { this->server.listen_after_bind(); });
    }
    ~relay_fixture()
    {
        this->server.close();
        this->thread.join();
    }
    scenario_http_reply get()
    {
        return http_call({this->port, "GET", "/", "", ""});
    }

    standin_server server{8};
    relay_hub hub;
    int port = 0;
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_hub_suite, relay_fixture)

// Guards against a relay that connects from another address than its
// configured source: servers tell processes apart by it.
BOOST_AUTO_TEST_CASE(open_relay_forwards_from_its_source)
{
    BOOST_TEST(this->get().body == "127.0.1.7");
}

// Guards against a stalled relay that drops requests instead of delaying them
// until it is opened.
BOOST_AUTO_TEST_CASE(stalled_relay_delivers_after_healing)
{
    this->hub.set_mode(this->port, relay_hub::mode::stalled);
    auto reply = std::async(std::launch::async, [this] { return this->get(); });
    BOOST_TEST((reply.wait_for(std::chrono::milliseconds(100)) ==
                std::future_status::timeout));
    this->hub.set_mode(this->port, relay_hub::mode::open);
    BOOST_TEST(reply.get().status == 200);
}

// Guards against a relay that accepts connections and drops them when it
// should refuse them.
BOOST_AUTO_TEST_CASE(refusing_relay_gives_no_reply_until_opened)
{
    this->hub.set_mode(this->port, relay_hub::mode::refused);
    BOOST_TEST(this->get().status == 0);
    this->hub.set_mode(this->port, relay_hub::mode::open);
    BOOST_TEST(this->get().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
