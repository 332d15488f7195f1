#include "platform_link.hpp"

#include <atomic>
#include <chrono>
#include <thread>

#include <httplib.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace jujubedrum
{

namespace
{

/// An accepted configuration has to be in force within 6 s.
constexpr milliseconds max_config_age{6000};
/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};
constexpr milliseconds poll_interval{10};
/// Rejected reads until the wait after a failed one has reached its maximum.
constexpr int rejected_reads = 6;

instant steady_now()
{
    return std::chrono::duration_cast<instant>(
        std::chrono::steady_clock::now().time_since_epoch());
}

/// A log that rejects the first reads of `config`. After that it serves a read
/// only if it arrives soon enough after the one before, and loses the others.
struct platform_link_fixture
{
    platform_link_fixture()
    {
        this->server.Get(".*", [this](const httplib::Request& request,
                                      httplib::Response& response)
                         { this->serve(request.path, response); });
        const int port = this->server.bind_to_any_port("127.0.0.1");
        this->thread =
            std::thread([this] { this->server.listen_after_bind(); });
        config_reason why;
        this->values = settings::load(
            nlohmann::json{
                {"instance", "e1"},
                {"domain", "d1"},
                {"region", "r1"},
                {"platform", {{"address", "127.0.0.1"}, {"port", port}}},
                {"admin_public_key", std::string(64, 'a')}}
                .dump(),
            why);
        BOOST_REQUIRE_MESSAGE(this->values, why.message());
    }
    ~platform_link_fixture()
    {
        this->stopping = true;
        this->server.stop();
        this->thread.join();
    }

    void serve(const std::string& path, httplib::Response& response)
    {
        if (path != "/v1/streams/config/records")
        {
            response.status = 503;
            return;
        }
        const instant now = steady_now();
        const instant previous = std::exchange(this->last_read_at, now);
        if (this->reads++ < rejected_reads)
        {
            response.status = 503;
            return;
        }
        if (this->reads == rejected_reads + 1 ||
            now - previous > max_config_age)
        {
            const instant end = now + max_config_age;
            while (!this->stopping && steady_now() < end)
            {
                std::this_thread::sleep_for(poll_interval);
            }
            response.status = 503;
            return;
        }
        this->served = true;
        response.set_content(R"({"records":[],"first_retained":0,"next":0})",
                             "application/json");
    }

    httplib::Server server;
    std::thread thread;
    std::optional<settings> values;
    std::atomic<bool> stopping{false};
    std::atomic<bool> served{false};
    int reads = 0; ///< of `config`; one at a time
    instant last_read_at{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_link_suite, platform_link_fixture)

// Guards against a configuration that waits for the time-out of a lost read and
// then for the pause of an outage.
BOOST_AUTO_TEST_CASE(config_read_lost_next_read_is_sent_without_pause)
{
    platform_link link(*this->values, steady_now, [](const event&) {});
    link.start();
    const instant end = steady_now() + wait_timeout;
    while (!this->served && steady_now() < end)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    BOOST_CHECK(this->served);
    this->stopping = true;
    link.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
