#include "caller_adapter.hpp"
#include "documents.hpp"
#include "log_codec.hpp"
#include "server_adapter.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace jujubedrum
{

namespace
{

/// More levels than a recursion can take on a stack of 8 MB.
constexpr std::size_t nesting_depth = 200'000;

/// JSON values that no number field may hold. 1e999 is no valid JSON number for
/// the parser; 18446744073709551616 is 2^64.
const std::vector<std::string> bad_numbers = {
    "-1",   "3.7", "1e308", "1e999", "18446744073709551616", "NaN", "\"5\"",
    "true", "[]",  "{}",    "-0.5"};

std::string nested_array()
{
    return std::string(nesting_depth, '[') + std::string(nesting_depth, ']');
}

std::string nested_object()
{
    std::string text;
    for (std::size_t i = 0; i < nesting_depth; ++i)
    {
        text += R"({"a":)";
    }
    return text + "1" + std::string(nesting_depth, '}');
}

/// Returns an entry of a backend server in which `field` holds the JSON value,
/// or without the field if the value is empty.
std::string entry_with(const std::string& field, const std::string& value)
{
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"backend", R"("s")"},
        {"address", R"("10.0.0.9:80")"},
        {"zone", R"("d1")"},
        {"version", R"("v1")"},
        {"slots", "8"},
        {"state", R"("ready")"},
        {"coldRemainingMs", "0"},
        {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":0})"},
        {"labels", R"(["a","r1-3"])"},
        {"seqNo", "4"},
        {"born", "12"}};
    std::string text = "{";
    bool replaced = false;
    for (const auto& [name, usual] : fields)
    {
        replaced = replaced || name == field;
        const std::string& chosen = name == field ? value : usual;
        if (!chosen.empty())
        {
            text.append("\"").append(name).append("\":").append(chosen) += ',';
        }
    }
    if (!replaced)
    {
        text.append("\"").append(field).append("\":").append(value) += ',';
    }
    text.back() = '}';
    return text;
}

bool is_accepted(const std::string& entry)
{
    std::string why;
    const bool accepted = decode_server("i-1", entry, why).has_value();
    BOOST_TEST((accepted || !why.empty()));
    BOOST_TEST(why.size() < 500);
    return accepted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_documents_suite)

// Guards against a number of another writer that is converted to a valid one: a
// capacity of -1 became 4,294,967,295 and attracted all tasks.
BOOST_AUTO_TEST_CASE(server_entry_number_out_of_range_refused)
{
    for (const std::string& number : bad_numbers)
    {
        for (const char* field : {"born", "slots", "seqNo"})
        {
            BOOST_TEST_CONTEXT(field << " = " << number)
            BOOST_TEST(!is_accepted(entry_with(field, number)));
        }
        for (const char* amount : {"cpu", "memMb", "gpu"})
        {
            BOOST_TEST_CONTEXT(amount << " = " << number)
            BOOST_TEST(!is_accepted(
                entry_with("capacity", "{\"" + std::string(amount) +
                                           "\":" + number + "}")));
        }
    }
    BOOST_TEST(!is_accepted(entry_with("capacity", R"({"cpu":4294967295})")));
    BOOST_TEST(!is_accepted(entry_with("capacity", R"({"cpu":4294967297})")));
}

// Guards against connections to a port that no server can listen on.
BOOST_AUTO_TEST_CASE(server_entry_odd_address_refused)
{
    for (const char* address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:12ab",
          "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", "10.0.0.256:80", "host:80",
          "[::1]:80", ":80", ""})
    {
        BOOST_TEST_CONTEXT(address)
        BOOST_TEST(!is_accepted(
            entry_with("address", "\"" + std::string(address) + "\"")));
    }
}

BOOST_AUTO_TEST_CASE(server_entry_of_another_shape_refused)
{
    const std::string long_text = "\"" + std::string(1U << 20U, 'x') + "\"";
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("{}"), std::string("3"), std::string("\"ready\""),
          std::string("\xff\xfe\x00", 3), std::string("{\"a\":\"\xff\"}"),
          nested_array(), nested_object(), std::string(nesting_depth, '['),
          long_text, long_text.substr(0, 1000)})
    {
        BOOST_TEST(!is_accepted(text));
    }
    for (const char* field : {"backend", "address", "zone", "state"})
    {
        for (const std::string& value :
             {std::string(), std::string("null"), std::string("1"),
              std::string("[]"), std::string("{}"), std::string(R"("")"),
              long_text, nested_array(), nested_object()})
        {
            BOOST_TEST_CONTEXT(field << " = " << value.substr(0, 20))
            BOOST_TEST(!is_accepted(entry_with(field, value)));
        }
    }
    for (const std::string& value :
         {std::string(), std::string("null"), std::string("5"),
          std::string("[1]"), std::string(R"("16")"), nested_array()})
    {
        BOOST_TEST(!is_accepted(entry_with("capacity", value)));
    }
    for (const std::string& value :
         {std::string("5"), std::string(R"("a")"), std::string("[1]"),
          std::string("{}"), nested_array(), nested_object()})
    {
        BOOST_TEST(!is_accepted(entry_with("labels", value)));
    }
    BOOST_TEST(!is_accepted(entry_with("state", R"("retired")")));
}

// Guards against an id that would add header lines to requests.
BOOST_AUTO_TEST_CASE(server_entry_odd_id_refused)
{
    std::string why;
    const std::string good = entry_with("seqNo", "4");
    for (const std::string& id :
         {std::string(), std::string("a b"), std::string("a\r\nX: y"),
          std::string("a\0b", 3), std::string("\xff"), std::string("\xc3\xa9")})
    {
        BOOST_TEST(!decode_server(id, good, why).has_value());
    }
    BOOST_TEST(decode_server("i-7f3a91c2", good, why).has_value());
}

// Guards against refusing entries of workers, whose entries may have further
// fields and leave out those that are 0.
BOOST_AUTO_TEST_CASE(server_entry_with_further_fields_accepted)
{
    std::string why;
    const auto usual = decode_server("i-1", entry_with("seqNo", "5"), why);
    BOOST_REQUIRE_MESSAGE(usual, why);
    BOOST_TEST(usual->capacity.cpu == 16000);
    BOOST_TEST(usual->incarnation == 12);
    for (const std::string& value :
         {std::string("1"), std::string("-1"), std::string("null"),
          std::string("[[1],{}]"), nested_array(), nested_object()})
    {
        const auto server = decode_server("i-1", entry_with("x", value), why);
        BOOST_REQUIRE_MESSAGE(server, why);
        BOOST_CHECK(*server == *usual);
    }
    for (const char* field :
         {"slots", "coldRemainingMs", "labels", "seqNo", "born", "version"})
    {
        BOOST_TEST_CONTEXT(field)
        BOOST_TEST(is_accepted(entry_with(field, "")));
    }
    BOOST_TEST(is_accepted(entry_with("coldRemainingMs", "12.5")));
    BOOST_TEST(is_accepted(entry_with("capacity", R"({"cpu":16000.0})")));
    BOOST_TEST(is_accepted(entry_with("born", "1764900000000")));
}

// Guards against a process that ends: "limits" was copied, which recurses once
// for each level.
BOOST_AUTO_TEST_CASE(configuration_deeply_nested_does_not_end_the_process)
{
    std::string why;
    for (const std::string& value : {nested_array(), nested_object()})
    {
        (void)decode_configuration(value, why);
        BOOST_TEST(decode_configuration(
                       R"({"version":1,"routes":[],"x":)" + value + "}", why)
                       .has_value());
        for (const auto& [start, end] :
             {std::pair<std::string, std::string>(
                  R"({"version":1,"routes":[],"limits":)", "}"),
              {R"({"version":1,"routes":[],"limits":{"maxBodyBytes":)", "}}"},
              {R"({"version":1,"routes":[{"name":)", "}]}"},
              {R"({"version":1,"routes":)", "}"},
              {R"({"version":)", "}"}})
        {
            std::string text = start;
            (void)decode_configuration(text.append(value).append(end), why);
        }
    }
}

// Guards against a version that no later one exceeds, and against limits that
// are none: a number of -1 became the maximum.
BOOST_AUTO_TEST_CASE(configuration_number_out_of_range_refused)
{
    const auto is_configuration = [](const std::string& version,
                                     const std::string& route,
                                     const std::string& limits)
    {
        std::string why;
        return decode_configuration(R"({"version":)" + version +
                                        R"(,"routes":[{)" + route +
                                        R"(}],"limits":{)" + limits + "}}",
                                    why)
            .has_value();
    };
    BOOST_TEST(is_configuration("7", R"("timeoutMs":1500)",
                                R"("maxBodyBytes":262144)"));
    for (const std::string& number : bad_numbers)
    {
        BOOST_TEST_CONTEXT(number)
        {
            BOOST_TEST(!is_configuration(number, "", ""));
            for (const char* field : {"priority", "maxAttempts"})
            {
                BOOST_TEST(!is_configuration(
                    "1", "\"" + std::string(field) + "\":" + number, ""));
            }
            for (const char* field : {"maxHeaderBytes", "maxBodyBytes"})
            {
                BOOST_TEST(!is_configuration(
                    "1", "", "\"" + std::string(field) + "\":" + number));
            }
        }
    }
    for (const std::string number :
         {"-1", "1e999", "NaN", "\"5\"", "true", "[]", "{}", "-0.5"})
    {
        BOOST_TEST_CONTEXT(number)
        {
            for (const char* field :
                 {"timeoutMs", "targetLatencyMs", "stretch"})
            {
                BOOST_TEST(!is_configuration(
                    "1", "\"" + std::string(field) + "\":" + number, ""));
            }
            BOOST_TEST(
                !is_configuration("1", "", R"("idleTimeoutMs":)" + number));
        }
    }
    for (const std::string& document :
         {std::string("null"), std::string("[]"), std::string("{}"),
          std::string(R"({"version":1,"routes":{}})"),
          std::string(R"({"version":1,"routes":[[]]})"),
          std::string(R"({"version":1,"routes":[{"name":5}]})"),
          std::string(R"({"version":1,"routes":[],"limits":[]})")})
    {
        std::string why;
        BOOST_TEST(!decode_configuration(document, why).has_value());
    }
}

// A time-out beyond the maximum is served as the maximum: refusing it would
// keep the whole configuration from coming into force.
BOOST_AUTO_TEST_CASE(configuration_long_duration_is_limited)
{
    std::string why;
    const auto document = decode_configuration(
        R"({"version":1,"routes":[{"timeoutMs":1e308,"targetLatencyMs":2.5}],)"
        R"("limits":{"idleTimeoutMs":18446744073709551616}})",
        why);
    BOOST_REQUIRE_MESSAGE(document, why);
    BOOST_CHECK(document->routes[0].timeout == max_duration);
    BOOST_CHECK(document->routes[0].target == milliseconds(2));
    BOOST_CHECK(document->limits.idle_timeout == max_duration);
}

// Guards against dialing another port than the announced one: 65616 became 80.
BOOST_AUTO_TEST_CASE(member_announcement_out_of_range_refused)
{
    const auto announcement =
        [](const std::string& port, const std::string& boot,
           const std::string& cpu, const std::string& address = "10.0.0.1")
    {
        return decode_member(R"({"name":"a","address":")" + address +
                             R"(","port":)" + port + R"(,"boot":)" + boot +
                             R"(,"domain":"d1","cpu":)" + cpu + "}");
    };
    BOOST_TEST(announcement("80", "1", "250").has_value());
    BOOST_TEST(announcement("80", "18446744073709551615", "250").has_value());
    for (const std::string& number : bad_numbers)
    {
        BOOST_TEST_CONTEXT(number)
        {
            BOOST_TEST(!announcement(number, "1", "250").has_value());
            BOOST_TEST(!announcement("80", number, "250").has_value());
            BOOST_TEST(!announcement("80", "1", number).has_value());
        }
    }
    for (const char* port : {"0", "65536", "65616", "99999"})
    {
        BOOST_TEST(!announcement(port, "1", "250").has_value());
    }
    BOOST_TEST(!announcement("80", "1", "250", "host").has_value());
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("{}"), std::string("\xff"), nested_array(),
          nested_object()})
    {
        BOOST_TEST(!decode_member(text).has_value());
    }
    // Written by a version that announces less.
    BOOST_TEST(
        decode_member(R"({"name":"a","address":"10.0.0.1","port":1,"boot":2})")
            .has_value());
}

// Guards against tasks that demand other amounts than their caller wrote: -1
// became 4,294,967,295 and 4,294,967,297 became 1.
BOOST_AUTO_TEST_CASE(submission_number_out_of_range_refused)
{
    submission_refusal refusal;
    const auto is_accepted_with =
        [&refusal](const std::string& field, const std::string& value)
    {
        refusal = {};
        std::string text = R"({"bestEffort":true,"steps":[{)";
        text += field == "count" ? "" : R"("count":1,)";
        text.append("\"").append(field).append("\":").append(value) += "}]}";
        return decode_submission("5c0e7a21d94b36f8", text, refusal).has_value();
    };
    for (const std::string& number : bad_numbers)
    {
        for (const char* field :
             {"count", "cpu", "memMb", "gpu", "antiAffinity"})
        {
            BOOST_TEST_CONTEXT(field << " = " << number)
            {
                BOOST_TEST(!is_accepted_with(field, number));
                BOOST_TEST(refusal.status == 400);
            }
        }
    }
    for (const char* count : {"0", "4097", "4294967297"})
    {
        BOOST_TEST(!is_accepted_with("count", count));
    }
    BOOST_TEST(!is_accepted_with("cpu", "4294967297"));
    for (const char* value : {"-1", "NaN", "1e999", "true", "\"5\"", "[]"})
    {
        BOOST_TEST(!is_accepted_with("estRuntimeMs", value));
    }
    for (const std::string& value :
         {std::string("5"), std::string(R"("a")"), std::string("[-1]"),
          std::string("[0]"), std::string("[1e308]"), nested_array()})
    {
        BOOST_TEST(!is_accepted_with("after", value));
    }
    for (const char* field : {"gang", "constraints", "dataRack"})
    {
        BOOST_TEST(!is_accepted_with(field, "5"));
        BOOST_TEST(!is_accepted_with(field, nested_object()));
    }
    BOOST_TEST(is_accepted_with("estRuntimeMs", "0.5"));
    BOOST_TEST(is_accepted_with("x", nested_array()));
    const auto job = decode_submission(
        "5c0e7a21d94b36f8",
        R"({"bestEffort":true,"steps":[{"count":1,"estRuntimeMs":1e308}]})",
        refusal);
    BOOST_REQUIRE(job);
    BOOST_CHECK(job->steps[0].estimate == max_duration);
}

BOOST_AUTO_TEST_CASE(submission_of_another_shape_refused)
{
    submission_refusal refusal;
    for (const std::string& text : {std::string("{}"), nested_object()})
    {
        BOOST_TEST(
            !decode_submission("5c0e7a21d94b36f8", text, refusal).has_value());
        BOOST_TEST(refusal.status == 503);
    }
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string(R"("x")"), std::string("\xff"), nested_array(),
          R"({"bestEffort":true,"steps":)" + nested_array() + "}",
          std::string(R"({"bestEffort":true,"steps":{"a":{"count":1}}})"),
          std::string(R"({"bestEffort":true,"steps":[[]]})"),
          std::string(R"({"bestEffort":true,"steps":["a"]})"),
          std::string(R"({"bestEffort":true,"steps":[null]})"),
          std::string(R"({"bestEffort":true})"),
          std::string(R"({"bestEffort":1,"steps":[{"count":1}]})")})
    {
        refusal = {};
        BOOST_TEST_CONTEXT(text.substr(0, 60))
        BOOST_TEST(
            !decode_submission("5c0e7a21d94b36f8", text, refusal).has_value());
        BOOST_TEST(refusal.status == 400);
        BOOST_TEST(refusal.text.size() < 500);
    }
}

// Guards against a clock or a run number that is converted to another one.
BOOST_AUTO_TEST_CASE(poll_reply_number_out_of_range_refused)
{
    const auto is_reply = [](const std::string& clock, const std::string& born,
                             const std::string& run, const std::string& percent,
                             const std::string& number)
    {
        return decode_poll_reply(R"({"clockMs":)" + clock + R"(,"born":)" +
                                 born + R"(,"running":[["a.0.1.17",)" + run +
                                 R"(,"",)" + percent + R"(]],"finished":[[)" +
                                 number + R"(,"a.0.1.9",)" + run +
                                 R"(,"done",""]]})")
            .has_value();
    };
    BOOST_TEST(is_reply("1", "1764900000000", "1", "41", "58"));
    for (const std::string& bad : bad_numbers)
    {
        BOOST_TEST_CONTEXT(bad)
        {
            // The clock and the percentage may have fractions.
            BOOST_TEST((bad == "3.7" || !is_reply(bad, "1", "1", "1", "1")));
            BOOST_TEST(!is_reply("1", bad, "1", "1", "1"));
            BOOST_TEST(!is_reply("1", "1", bad, "1", "1"));
            BOOST_TEST((bad == "3.7" || !is_reply("1", "1", "1", bad, "1")));
            BOOST_TEST(!is_reply("1", "1", "1", "1", bad));
        }
    }
    // Lease ends are computed from the clock.
    BOOST_TEST(!is_reply("9223372036854775807", "1", "1", "1", "1"));
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("{}"), std::string("\xff"), nested_array(),
          nested_object(), R"({"clockMs":1,"running":)" + nested_array() + "}",
          std::string(R"({"clockMs":1,"running":{},"finished":[]})"),
          std::string(R"({"clockMs":1,"running":[[]],"finished":[]})"),
          std::string(R"({"clockMs":1,"running":[5],"finished":[]})")})
    {
        BOOST_TEST_CONTEXT(text.substr(0, 60))
        BOOST_TEST(!decode_poll_reply(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(start_reply_of_another_shape_is_invalid)
{
    for (const std::string& body :
         {std::string(), std::string("null"), std::string("\xff"),
          std::string(R"({"reason":5})"), nested_array(), nested_object(),
          R"({"reason":)" + nested_array() + "}"})
    {
        BOOST_CHECK(decode_start_reply({http_result::replied, 409, body, ""}) ==
                    start_outcome::invalid);
    }
}

// Guards against an offset that no record has: -1 became the highest one, from
// which reads return nothing.
BOOST_AUTO_TEST_CASE(store_reply_number_out_of_range_refused)
{
    for (const std::string& number : bad_numbers)
    {
        BOOST_TEST_CONTEXT(number)
        {
            BOOST_TEST(
                !decode_newest_page(R"({"items":[],"end":)" + number + "}")
                     .has_value());
            BOOST_TEST(!decode_append_offset(R"({"offset":)" + number + "}")
                            .has_value());
            BOOST_TEST(!decode_first_offset(R"({"first":)" + number + "}")
                            .has_value());
        }
    }
    for (const std::string& text :
         {std::string(), std::string("null"), std::string("[]"),
          std::string("\xff"), nested_array(), nested_object()})
    {
        BOOST_TEST(!decode_newest_page(text).has_value());
        BOOST_TEST(!decode_append_offset(text).has_value());
    }
    const auto page = decode_newest_page(
        R"({"items":[null,5,{"key":5},{"key":"a","value":5},)"
        R"({"key":"b","value":"!"},{"key":"c","value":"eA=="},)"
        R"({"key":"d","value":)" +
        nested_array() + R"(}],"hasMore":"x","end":6})");
    BOOST_REQUIRE(page);
    BOOST_REQUIRE_EQUAL(page->items.size(), 1);
    BOOST_TEST(page->items[0].key == "c");
    BOOST_TEST(page->last_key == "d");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
