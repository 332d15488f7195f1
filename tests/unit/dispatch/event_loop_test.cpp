#include "node/event_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <thread>

#include <boost/asio/post.hpp>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};

[[noreturn]] void throw_error()
{
    throw std::runtime_error("test");
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_loop_suite)

// Guards against one unexpected error that ends the whole process.
BOOST_AUTO_TEST_CASE(handler_throws_others_still_run)
{
    event_loop loop;
    bool ran = false;
    boost::asio::post(loop.context(), throw_error);
    boost::asio::post(loop.context(), [&ran] { ran = true; });
    BOOST_TEST(loop.run_until([&ran] { return ran; }, wait_timeout));
}

BOOST_AUTO_TEST_CASE(handler_throws_loop_runs_until_stop)
{
    event_loop loop;
    boost::asio::post(loop.context(), throw_error);
    loop.after(milliseconds(20), [&loop] { loop.stop(); });
    BOOST_CHECK_NO_THROW(loop.run());
}

// Timers share one tick, which has to go on.
BOOST_AUTO_TEST_CASE(timer_throws_later_timers_still_run)
{
    event_loop loop;
    bool same_tick = false;
    bool later = false;
    loop.after(milliseconds(5), throw_error);
    loop.after(milliseconds(5), [&same_tick] { same_tick = true; });
    loop.after(milliseconds(40), [&later] { later = true; });
    BOOST_TEST(
        loop.run_until([&] { return same_tick && later; }, wait_timeout));
}

// Guards against a confirmation, sent after a freeze, for a time in which the
// callers may have left: their sockets are handled after it.
BOOST_AUTO_TEST_CASE(loop_blocked_handled_until_before_that)
{
    event_loop loop;
    BOOST_REQUIRE(loop.run_until(
        [&loop] { return loop.handled_until() > instant(0); }, wait_timeout));
    instant blocked{0};
    instant next{0};
    loop.after(milliseconds(0),
               [&]
               {
                   blocked = event_loop::now();
                   std::this_thread::sleep_for(milliseconds(200));
                   loop.after(milliseconds(0),
                              [&] { next = loop.handled_until(); });
               });
    BOOST_REQUIRE(
        loop.run_until([&next] { return next > instant(0); }, wait_timeout));
    BOOST_CHECK(next <= blocked);
    BOOST_CHECK(loop.run_until(
        [&] { return loop.handled_until() > blocked + milliseconds(200); },
        wait_timeout));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
