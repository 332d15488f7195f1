#include "node/peer_message.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

constexpr std::size_t length_bytes = 4;

dispatch_message copy_of(const dispatch_message& message)
{
    const std::string frame = encode_frame(message);
    std::string why;
    const auto decoded =
        decode_message(std::string_view(frame).substr(length_bytes), why);
    BOOST_REQUIRE_MESSAGE(decoded, why);
    return *decoded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_message_suite)

BOOST_AUTO_TEST_CASE(submit_encoded_and_decoded_is_equal)
{
    submit_message message;
    message.ticket = 9;
    message.request.id = "00112233445566aa";
    message.request.payload = "text";
    job_step step;
    step.count = 3;
    step.demand = {6800, 64, 1};
    step.estimate = milliseconds(70);
    step.label = "b";
    step.data_rack = "r1-2";
    step.max_per_server = 2;
    message.request.steps = {step, step};
    message.request.steps[1].after = {0};
    message.terms = {"service",         2, 3, 1.6, milliseconds(60),
                     milliseconds(1500)};
    message.seen_server_number = 1UL << 40U;
    BOOST_CHECK(copy_of(message) == dispatch_message(message));
}

BOOST_AUTO_TEST_CASE(heartbeat_and_others_encoded_and_decoded_are_equal)
{
    heartbeat_message heartbeat;
    heartbeat.instance = {"e1",        77, "d1", 250, true, {{{"d1", 3}, 4096}},
                          {"s1", "s2"}};
    heartbeat.instance.holds.push_back(
        {{"d1", 2}, 8192, true, std::vector<std::uint64_t>{3, 1UL << 63U}});
    heartbeat.instance.holds.push_back(
        {{"d1", 1}, 8192, true, std::vector<std::uint64_t>{}});
    heartbeat.instance.server_number = 12;
    heartbeat.instance.evacuations = {{"d1", 1UL << 40U, true},
                                      {"d2", 7, false}};
    heartbeat.instance.evacuations_known = true;
    heartbeat.load = {100, 50, 25, 12.5};
    heartbeat.load.waiting_by_priority = {{0, 8000}, {2, 1UL << 33U}};
    heartbeat.load.largest_free_cpu = 24000;
    heartbeat.interval = milliseconds(360);
    heartbeat.sent_at = seconds(5000);
    const std::vector<dispatch_message> messages{
        heartbeat,
        result_message{
            5, {job_outcome::refused, "busy", milliseconds(200)}, {1, 2, 3, 4}},
        cancel_message{"id", "left", 7},
        release_message{{"s1", "s2"}},
        alive_message{{1, 2, 3, 4}, milliseconds(100), 5000},
        seen_message{12},
        confirm_message{seconds(5000)},
        recall_message{"id", 7},
        link_state_message{{3, {2, 3}, 1UL << 40U}}};
    for (const dispatch_message& message : messages)
    {
        BOOST_CHECK(copy_of(message) == message);
    }
}

// Guards against a text that is cut at U+0000, or changed otherwise, between
// two instances.
BOOST_AUTO_TEST_CASE(texts_of_any_bytes_encoded_and_decoded_are_equal)
{
    constexpr int rounds = 300;
    constexpr unsigned max_size = 48;
    std::mt19937 random(1);
    const auto text = [&random]
    {
        // A third of the bytes are 0.
        std::string out(random() % max_size, '\0');
        for (char& each : out)
        {
            each = random() % 3 == 0 ? '\0' : static_cast<char>(random());
        }
        return out;
    };
    for (int round = 0; round < rounds; ++round)
    {
        submit_message submitted;
        submitted.request.id = text();
        submitted.request.payload = text();
        job_step step;
        step.label = text();
        step.data_rack = text();
        submitted.request.steps = {step};
        submitted.terms.service = text();
        heartbeat_message heartbeat;
        heartbeat.instance = {
            text(),          1, text(), 250, false, {{{text(), 3}, 9}},
            {text(), text()}};
        heartbeat.instance.evacuations = {{text(), 1, true}};
        const std::vector<dispatch_message> messages{
            submitted,
            heartbeat,
            result_message{
                1, {job_outcome::refused, text(), milliseconds(0)}, {}},
            cancel_message{text(), text(), 7},
            release_message{{text(), text()}},
            recall_message{text(), 7}};
        for (const dispatch_message& message : messages)
        {
            BOOST_TEST(bool(copy_of(message) == message),
                       "message " << message.index() << ", round " << round);
        }
    }
}

BOOST_AUTO_TEST_CASE(decode_junk_gives_a_reason)
{
    std::string why;
    BOOST_TEST(!decode_message(std::string(64, '\xff'), why).has_value());
    BOOST_TEST(!why.empty());
}

// Heartbeats of a holder were a third of the bytes on a link of 2 Mbit/s.
BOOST_AUTO_TEST_CASE(heartbeat_view_known_takes_less_than_a_third)
{
    heartbeat_message heartbeat;
    heartbeat.instance.name = "frontend-citarum-a-1";
    heartbeat.instance.domain = "citarum-a";
    heartbeat.instance.holds = {{{"citarum-a", 0}, 1U << 30U, true},
                                {{"citarum-a", 1}, 1U << 30U, true}};
    BOOST_TEST(encode_frame(alive_message{}).size() * 3 <
               encode_frame(heartbeat).size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
