#include "caller_adapter.hpp"
#include "documents.hpp"
#include "log_codec.hpp"
#include "server_adapter.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

BOOST_AUTO_TEST_SUITE(platform_codec_suite)

BOOST_AUTO_TEST_CASE(log_page_two_records_decoded)
{
    std::string body(15, '\0');
    body += '\x2a';
    body[7] = '\x05';
    body += encode_record("ab") + encode_record("");
    std::string expected_end_first = body;
    const auto page = decode_log_page(body);
    BOOST_REQUIRE(page);
    BOOST_TEST(page->end_offset == 5);
    BOOST_TEST(page->first_offset == 42);
    BOOST_REQUIRE_EQUAL(page->records.size(), 2);
    BOOST_TEST(page->records[0] == "ab");
    BOOST_TEST(!decode_log_page(body.substr(0, body.size() - 1)).has_value());
}

BOOST_AUTO_TEST_CASE(keyed_record_without_value_is_a_removal)
{
    const auto removed = decode_keyed_record(std::string("\x02id", 3));
    BOOST_REQUIRE(removed);
    BOOST_TEST(removed->key == "id");
    BOOST_TEST(!removed->value.has_value());
    BOOST_TEST(*decode_keyed_record("\x02idx")->value == "x");
    BOOST_TEST(!decode_keyed_record("\x09id").has_value());
}

BOOST_AUTO_TEST_CASE(newest_page_values_are_base64)
{
    const auto page = decode_newest_page(
        R"({"items":[{"key":"k","value":"aGVsbG8=","offset":4}],)"
        R"("hasMore":true,"end":6})");
    BOOST_REQUIRE(page);
    BOOST_REQUIRE_EQUAL(page->items.size(), 1);
    BOOST_TEST(*page->items[0].value == "hello");
    BOOST_TEST(page->has_more);
    BOOST_TEST(page->end_offset == 6);
}

// Guards against tasks sent to an address from a malformed entry, such as one
// of another writer.
BOOST_AUTO_TEST_CASE(server_entry_with_wrong_fields_refused)
{
    std::string why;
    const std::string good =
        R"({"backend":"s","address":"10.0.0.9:80","zone":"d1",)"
        R"("state":"ready","capacity":{"cpu":16000,"memMb":1},)"
        R"("labels":["a","r1-3"],"born":12})";
    const auto server = decode_server("i-1", good, why);
    BOOST_REQUIRE_MESSAGE(server, why);
    BOOST_TEST(server->port == 80);
    BOOST_TEST(server->has_label("r1-3"));
    BOOST_TEST(server->incarnation == 12);
    for (const char* bad :
         {"", "[]", "{}", R"({"backend":1})",
          R"({"backend":"s","address":"x","zone":"d","state":"ready",)"
          R"("capacity":{}})",
          R"({"backend":"s","address":"10.0.0.9:80","zone":"d",)"
          R"("state":"odd","capacity":{}})"})
    {
        BOOST_TEST(!decode_server("i-1", bad, why).has_value());
    }
}

BOOST_AUTO_TEST_CASE(configuration_routes_and_limits_decoded)
{
    std::string why;
    const auto document = decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
        R"("timeoutMs":1500,"targetLatencyMs":60,"priority":2,"backend":"s",)"
        R"("maxAttempts":3,"stretch":1.6}],"limits":{"maxBodyBytes":100}})",
        why);
    BOOST_REQUIRE_MESSAGE(document, why);
    BOOST_TEST(document->version == 7);
    BOOST_REQUIRE_EQUAL(document->routes.size(), 1);
    BOOST_TEST(document->routes[0].prefix == "/p/");
    BOOST_CHECK(document->routes[0].target == milliseconds(60));
    BOOST_TEST(document->limits.body_bytes == 100);
    BOOST_TEST(!decode_configuration("{}", why).has_value());
}

BOOST_AUTO_TEST_CASE(task_name_round_trip)
{
    const task_id task{"5c0e7a21d94b36f8", 1, 17};
    BOOST_TEST(encode_task(task) == "5c0e7a21d94b36f8.0.1.17");
    BOOST_CHECK(decode_task(encode_task(task)) == task);
    for (const char* bad :
         {"", "a", "a.0.1", "a.0.1.2.3", "a.1.1.2", "a.0.x.2"})
    {
        BOOST_TEST(!decode_task(bad).has_value());
    }
}

BOOST_AUTO_TEST_CASE(poll_reply_rows_decoded)
{
    const auto reply = decode_poll_reply(
        R"({"clockMs":482113,"born":5,"running":[["a.0.1.17",2,"cp",41,10]],)"
        R"("finished":[[58,"a.0.1.9",1,"done",""]]})");
    BOOST_REQUIRE(reply);
    BOOST_CHECK(reply->server_clock == milliseconds(482113));
    BOOST_REQUIRE_EQUAL(reply->running.size(), 1);
    BOOST_TEST(reply->running[0].percent == 41);
    BOOST_REQUIRE_EQUAL(reply->ended.size(), 1);
    BOOST_TEST(reply->ended[0].number == 58);
    BOOST_CHECK(reply->ended[0].outcome == run_outcome::done);
}

BOOST_AUTO_TEST_CASE(start_replies_map_to_outcomes)
{
    const auto outcome_for = [](int status, const std::string& body)
    {
        return decode_start_reply(
            {http_result::replied, status, body, std::string()});
    };
    BOOST_CHECK(outcome_for(200, "{}") == start_outcome::accepted);
    BOOST_CHECK(outcome_for(409, R"({"reason":"fence"})") ==
                start_outcome::fenced);
    BOOST_CHECK(outcome_for(409, R"({"reason":"room"})") ==
                start_outcome::no_capacity);
    BOOST_CHECK(outcome_for(409, R"({"reason":"late"})") ==
                start_outcome::expired);
    BOOST_CHECK(outcome_for(409, R"({"reason":"old"})") ==
                start_outcome::stale_run);
    BOOST_CHECK(outcome_for(503, "") == start_outcome::unhealthy);
    BOOST_CHECK(outcome_for(421, "") == start_outcome::restarted);
    BOOST_CHECK(decode_start_reply({http_result::no_reply, 0, "", "timeout"}) ==
                start_outcome::unanswered);
    BOOST_CHECK(decode_start_reply({http_result::not_sent, 0, "", "refused"}) ==
                start_outcome::unhealthy);
}

// Guards against jobs that are accepted although a feature they request is not
// supported, so that they cannot be completed.
BOOST_AUTO_TEST_CASE(submission_with_unsupported_feature_refused_with_reason)
{
    submission_refusal refusal;
    const auto decode = [&refusal](const std::string& body)
    { return decode_submission("5c0e7a21d94b36f8", body, refusal); };
    const auto job = decode(
        R"({"bestEffort":true,"taskSpec":"t","steps":[{"count":4,"cpu":6800,)"
        R"("memMb":64,"estRuntimeMs":60,"dataRack":"r1-3"}]})");
    BOOST_REQUIRE_MESSAGE(job, refusal.text);
    BOOST_TEST(job->steps.at(0).count == 4);
    BOOST_TEST(job->steps.at(0).data_rack == "r1-3");
    BOOST_TEST(!decode(R"({"steps":[{"count":1}]})").has_value());
    BOOST_TEST(refusal.status == 503);
    BOOST_TEST(
        !decode(R"({"bestEffort":true,"steps":[{"count":1,"gang":true}]})")
             .has_value());
    BOOST_TEST(refusal.status == 503);
    BOOST_TEST(
        !decode(R"({"bestEffort":true,"steps":[{"count":1,"after":[0]}]})")
             .has_value());
    BOOST_TEST(refusal.status == 400);
    BOOST_TEST(!decode("junk").has_value());
    BOOST_TEST(refusal.status == 400);
    BOOST_TEST(!decode(R"({"bestEffort":true,"steps":[]})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
