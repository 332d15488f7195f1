#include "peer_network.hpp"
#include "socket_address.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace jujubedrum;

namespace
{

/// Replies to each kind of request with values from the request. Holds the
/// reply functions of `collect` until a test takes them, throws on `cancel`,
/// and drops `give_back`.
class test_handler final : public peer_handler
{
public:
    void on_request(peer_request request,
                    std::function<void(peer_reply)> reply) override
    {
        if (std::holds_alternative<collect_request>(request))
        {
            const std::lock_guard lock(this->mutex);
            this->held_replies.push_back(std::move(reply));
            return;
        }
        if (auto* heartbeat = std::get_if<heartbeat_request>(&request))
        {
            reply(heartbeat_reply{heartbeat->digest,
                                  {heartbeat->grants.through}});
        }
        else if (auto* borrow = std::get_if<borrow_request>(&request))
        {
            reply(borrow_reply{{borrow->sequence, {{"s", borrow->needed}}},
                               borrow->report,
                               {borrow->wanted}});
        }
        else if (auto* job = std::get_if<submit_request>(&request))
        {
            reply(job_reply{job->job});
        }
        else if (auto* from = std::get_if<config_records_request>(&request))
        {
            reply(config_records_reply{{{from->from, "{}"}}});
        }
        else if (std::holds_alternative<cancel_request>(request))
        {
            throw std::runtime_error("test");
        }
        // A give_back request is dropped without a reply.
    }

    /// Waits up to 10 s for a held reply function and returns it.
    std::function<void(peer_reply)> take_held_reply()
    {
        for (int i = 0; i < 2000; ++i)
        {
            {
                const std::lock_guard lock(this->mutex);
                if (!this->held_replies.empty())
                {
                    auto reply = std::move(this->held_replies.back());
                    this->held_replies.pop_back();
                    return reply;
                }
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        BOOST_FAIL("no request arrived");
        return {};
    }

private:
    std::mutex mutex;
    std::vector<std::function<void(peer_reply)>> held_replies;
};

peer_network make_network(peer_handler& handler, peer_options options = {})
{
    peer_reason why;
    auto network = peer_network::create(options, handler, why);
    BOOST_REQUIRE_MESSAGE(network.has_value(), why.message());
    return std::move(*network);
}

struct two_networks
{
    std::future<peer_reply> post(peer_address to, peer_request request)
    {
        auto result = std::make_shared<std::promise<peer_reply>>();
        this->a.call(std::move(to), std::move(request),
                     [result](peer_reply reply)
                     { result->set_value(std::move(reply)); });
        return result->get_future();
    }

    peer_reply call(peer_address to, peer_request request)
    {
        auto future = this->post(std::move(to), std::move(request));
        BOOST_REQUIRE(future.wait_for(seconds(30)) ==
                      std::future_status::ready);
        return future.get();
    }

    peer_reply call(peer_request request)
    {
        return this->call(this->to_b(), std::move(request));
    }

    peer_address to_b() { return {"b", "127.0.0.1", this->b.port()}; }

    test_handler handler_a;
    test_handler handler_b;
    peer_network a = make_network(this->handler_a);
    peer_network b = make_network(this->handler_b);
};

peer_failure failure(const peer_reply& reply)
{
    BOOST_REQUIRE(std::holds_alternative<peer_failure>(reply));
    return std::get<peer_failure>(reply);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_network_suite, two_networks)

// Guards against digest fields lost or swapped in transmission.
BOOST_AUTO_TEST_CASE(heartbeat_full_digest_round_trips)
{
    const peer_digest digest{"a",    "d1",
                             5,      peer_phase::leaving,
                             9,      11,
                             3,      4,
                             {1, 2}, {{"c", 6, 7, peer_state::unreachable, 8}}};
    const peer_reply reply =
        this->call(heartbeat_request{digest, {"a", 12, {}, {}, 0}});
    BOOST_TEST((reply == peer_reply(heartbeat_reply{digest, {12}})));
    BOOST_TEST(this->a.counters().calls[0].calls_out == 1U);
    BOOST_TEST(this->b.counters().calls[0].calls_in == 1U);
}

// Guards against replies marshalled as another kind, and against a connection
// for each call.
BOOST_AUTO_TEST_CASE(call_each_kind_uses_one_connection)
{
    const std::string job(8 << 20, 'x');
    BOOST_TEST((this->call(submit_request{job, seconds(5), 0}) ==
                peer_reply(job_reply{job})));
    const grant_report held{"a", 8, {{5, {{"s", 2}}}}, {6, 7}, 3};
    BOOST_TEST((this->call(borrow_request{held, 9, 4, 6}) ==
                peer_reply(borrow_reply{{9, {{"s", 4}}}, held, {6}})));
    BOOST_TEST((this->call(config_records_request{3}) ==
                peer_reply(config_records_reply{{{3, "{}"}}})));
    BOOST_TEST(this->a.counters().connections_opened == 1U);
}

// Guards against a call that never ends because the handler threw or dropped
// the reply function.
BOOST_AUTO_TEST_CASE(call_unanswered_by_handler_is_refused)
{
    for (const peer_request& request :
         {peer_request(grant_report{"a", 1, {}, {}, 0}),
          peer_request(cancel_request{"j", "t"})})
    {
        const peer_failure why = failure(this->call(request));
        BOOST_TEST((why.error == peer_error::refused));
        BOOST_TEST((why.delivery == peer_delivery::unknown));
    }
}

// Guards against a reply from another thread that does not wake the RPC thread,
// and against an open call that blocks others.
BOOST_AUTO_TEST_CASE(call_late_reply_from_another_thread_arrives)
{
    auto waiting =
        this->post(this->to_b(), collect_request{"j", "t", seconds(25)});
    auto reply = this->handler_b.take_held_reply();
    this->call(heartbeat_request{{}, {}});
    std::thread([&reply] { reply(job_reply{"{}"}); }).join();
    BOOST_REQUIRE(waiting.wait_for(seconds(20)) == std::future_status::ready);
    BOOST_TEST((waiting.get() == peer_reply(job_reply{"{}"})));
}

// Guards against reporting a timed-out call as not sent, after which the caller
// would retry elsewhere although the request may have arrived, and against a
// late reply that reaches a later call.
BOOST_AUTO_TEST_CASE(call_timeout_may_have_been_delivered)
{
    const peer_failure why =
        failure(this->call(collect_request{"j", "t", microseconds(0)}));
    BOOST_TEST((why.error == peer_error::timeout));
    BOOST_TEST((why.delivery == peer_delivery::unknown));
    this->handler_b.take_held_reply()(job_reply{"late"});
    BOOST_TEST((this->call(submit_request{"x", seconds(5), 0}) ==
                peer_reply(job_reply{"x"})));
}

// Guards against reporting a request as possibly delivered although there was
// no connection, at the first attempt and during the backoff.
BOOST_AUTO_TEST_CASE(call_closed_port_is_unreachable_and_not_sent)
{
    const peer_address closed{"c", "127.0.0.1", this->b.port()};
    this->b.stop();
    for (int i = 0; i < 3; ++i)
    {
        const peer_failure why =
            failure(this->call(closed, heartbeat_request{{}, {}}));
        BOOST_TEST((why.error == peer_error::unreachable));
        BOOST_TEST((why.delivery == peer_delivery::not_sent));
    }
    const peer_failure why =
        failure(this->call({"d", "localhost", 1}, heartbeat_request{{}, {}}));
    BOOST_TEST((why.delivery == peer_delivery::not_sent));
}

// Guards against a call that never ends when the peer stops during it, and
// against a link that does not reconnect after the peer has restarted.
BOOST_AUTO_TEST_CASE(call_peer_restart_fails_open_call_and_reconnects)
{
    const peer_address to = this->to_b();
    auto waiting = this->post(to, collect_request{"j", "t", seconds(25)});
    auto reply = this->handler_b.take_held_reply();
    this->b.stop();
    BOOST_REQUIRE(waiting.wait_for(seconds(20)) == std::future_status::ready);
    const peer_failure why = failure(waiting.get());
    BOOST_TEST((why.error == peer_error::unreachable));
    BOOST_TEST((why.delivery == peer_delivery::unknown));
    reply(job_reply{"after the end"});

    peer_options options;
    options.rpc_port = to.rpc_port;
    const peer_network restarted = make_network(this->handler_b, options);
    bool recovered = false;
    for (int i = 0; i < 200 && !recovered; ++i)
    {
        recovered = std::holds_alternative<heartbeat_reply>(
            this->call(to, heartbeat_request{{}, {}}));
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(recovered);
}

// Guards against unbounded memory for calls to a peer that does not reply, and
// against a stop that does not complete open calls.
BOOST_AUTO_TEST_CASE(call_beyond_bounds_is_overloaded_and_stop_ends_all)
{
    peer_options options;
    options.max_outgoing = 4;
    peer_network limited = make_network(this->handler_a, options);
    std::atomic<int> overloaded = 0;
    std::atomic<int> ended = 0;
    for (int i = 0; i < 10; ++i)
    {
        limited.call(this->to_b(), collect_request{"j", "t", seconds(25)},
                     [&](peer_reply reply)
                     {
                         const auto* why = std::get_if<peer_failure>(&reply);
                         overloaded +=
                             why && why->error == peer_error::overloaded &&
                                     why->delivery == peer_delivery::not_sent
                                 ? 1
                                 : 0;
                         ++ended;
                     });
    }
    this->handler_b.take_held_reply();
    limited.stop();
    BOOST_TEST(overloaded == 6);
    BOOST_TEST(ended == 10);
}

// Guards against a request above the maximum message size that breaks the
// shared connection.
BOOST_AUTO_TEST_CASE(call_too_large_request_is_refused_and_not_sent)
{
    const peer_failure why = failure(
        this->call(submit_request{std::string(10 << 20, 'x'), seconds(5), 0}));
    BOOST_TEST((why.error == peer_error::refused));
    BOOST_TEST((why.delivery == peer_delivery::not_sent));
}

// Guards against an invalid connection that stops the server from accepting.
BOOST_AUTO_TEST_CASE(server_garbage_and_reset_connections_keeps_accepting)
{
    const auto at = socket_address::parse("127.0.0.1", this->b.port());
    const std::string garbage(64, '\xff');
    for (int i = 0; i < 20; ++i)
    {
        const int stray = ::socket(AF_INET, SOCK_STREAM, 0);
        BOOST_REQUIRE(::connect(stray, at->data(), at->size()) == 0);
        if (i % 2 == 0)
        {
            (void)::send(stray, garbage.data(), garbage.size(), MSG_NOSIGNAL);
        }
        // Closing with a zero linger time resets the connection.
        const linger reset{1, 0};
        ::setsockopt(stray, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(stray);
    }
    BOOST_TEST(std::holds_alternative<heartbeat_reply>(
        this->call(heartbeat_request{})));
}

// Guards against a second process that shares or takes over a port without an
// error.
BOOST_AUTO_TEST_CASE(create_used_port_returns_reason)
{
    peer_options options;
    options.rpc_port = this->b.port();
    peer_reason why;
    BOOST_TEST(!peer_network::create(options, this->handler_a, why));
    BOOST_TEST((why.code() == peer_error::cannot_listen));
}

BOOST_AUTO_TEST_SUITE_END()
