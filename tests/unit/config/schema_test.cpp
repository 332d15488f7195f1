#include "config/edit_distance.hpp"
#include "config/json_text.hpp"
#include "config/section_name.hpp"
#include "config/settings.hpp"
#include "config/validate_section.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

const section_name team = section_name::parse("teams/rake").value();

std::string validation_error(const section_name& name, std::string_view text)
{
    config_reason why;
    return validate_section(name, text, why)
               ? "none"
               : std::string(to_string(why.code())) + " " + why.message();
}

std::string settings_with(const std::string& more)
{
    return "{\"instance\":\"e1\",\"domain\":\"d1\",\"region\":\"r1\","
           "\"admin_public_key\":\"" +
           std::string(64, 'a') + "\"," + more + "}";
}

std::string settings_error(const std::string& more)
{
    config_reason why;
    return settings::load(settings_with(more), why) ? "none" : why.message();
}

const std::string platform =
    "\"platform\":{\"address\":\"127.0.0.1\",\"port\":1}";

} // namespace

BOOST_AUTO_TEST_SUITE(schema_suite)

// Guards against error texts that no longer point an operator to the error.
BOOST_AUTO_TEST_CASE(section_faults_match_golden)
{
    const std::vector<std::pair<std::string, std::string>> golden = {
        {"{}", "none"},
        {"{\"//\":[1],\"quota\":{\"//\":{\"x\":1}}}", "none"},
        {"{\"qouta\":{}}", "unknown_key /qouta: unknown key; the nearest "
                           "valid key is \"quota\""},
        {"{\"quota\":{\"task_per_second\":1}}",
         "unknown_key /quota/task_per_second: unknown key; the nearest valid "
         "key is \"tasks_per_second\""},
        {"{\"weight\":0}", "out_of_bounds /weight: 0 is outside 1 to 100"},
        {"{\"weight\":1.5}",
         "wrong_type /weight: expected integer, found number"},
        {"{\"kinds\":{\"a/b\":{}}}", "out_of_bounds /kinds/a~1b: the name does "
                                     "not match ^[A-Za-z0-9_.:-]{1,64}$"},
        {"{\"kinds\":{\"trip\":{\"run_ms\":\"1\"}}}",
         "wrong_type /kinds/trip/run_ms: expected integer, found string"},
        {"{\"caller_token_sha256\":[\"xyz\"]}",
         "out_of_bounds /caller_token_sha256/0: the text does not match "
         "^[0-9a-f]{64}$"},
        {"{\"weight\":1,\"weight\":2}",
         "duplicate_key key \"weight\" is named twice in one object"},
        {"[]", "malformed not a JSON object"},
    };
    for (const auto& [text, expected] : golden)
    {
        BOOST_TEST(validation_error(team, text) == expected);
    }
    BOOST_TEST(validation_error(section_name::system(),
                                "{\"objective\":\"message\"}") ==
               "out_of_bounds /objective: no such word; the nearest valid "
               "word is \"messages\"");
}

// Guards against deep or long input that exhausts the stack.
BOOST_AUTO_TEST_CASE(section_deep_or_long_refused)
{
    BOOST_TEST(validation_error(team, std::string(100000, '[')) != "none");
    BOOST_TEST(validation_error(team, "{\"//\":" + std::string(30, '[') +
                                          std::string(30, ']') + "}") ==
               "malformed nested deeper than 16 levels");
    BOOST_TEST(validation_error(team, "{\"caller_token_sha256\":[\"" +
                                          std::string(900000, 'a') + "\"]}") !=
               "none");
}

// Guards against skipping the keywords that only valijson checks, such as
// maxItems.
BOOST_AUTO_TEST_CASE(section_too_many_tokens_refused)
{
    std::string list;
    for (int i = 0; i < 65; ++i)
    {
        list += (i == 0 ? "\"" : ",\"") + std::string(64, 'a') + "\"";
    }
    BOOST_TEST(
        validation_error(team, "{\"caller_token_sha256\":[" + list + "]}")
            .starts_with("out_of_bounds /caller_token_sha256: "));
}

// Guards against a document with a section name that no editor can own, and
// against error locations relative to the section instead of the document.
BOOST_AUTO_TEST_CASE(document_faults_carry_pointer)
{
    config_reason why;
    BOOST_TEST(validate_document("{\"system\":{},\"teams\":{\"a\":{}}}", why));
    BOOST_TEST(!validate_document("{\"teams\":{\"admin\":{}}}", why));
    BOOST_TEST(why.where() == "/teams/admin");
    BOOST_TEST(!validate_document("{\"teams\":{\"a\":{\"wait\":1}}}", why));
    BOOST_TEST(why.where() == "/teams/a/wait");
}

// Guards against a section text that differs from what the operator wrote.
BOOST_AUTO_TEST_CASE(member_texts_keep_layout)
{
    const auto members =
        member_texts(" { \"a\" : { \"x\": \"},\\\"\" } ,\n\"b\":[1, 2]}");
    BOOST_TEST(members.at("a") == "{ \"x\": \"},\\\"\" }");
    BOOST_TEST(members.at("b") == "[1, 2]");
}

// Guards against a suggestion that is not the nearest key.
BOOST_AUTO_TEST_CASE(nearest_word_counts_swaps_once)
{
    BOOST_TEST(edit_distance("qouta", "quota") == 1U);
    BOOST_TEST(edit_distance("kitten", "sitting") == 3U);
    BOOST_TEST(nearest_word("wieght", {"height", "weight"}) == "weight");
    BOOST_TEST(nearest_word("x", {}).empty());
}

// Guards against accepting invalid settings, and against error texts that do
// not name the field.
BOOST_AUTO_TEST_CASE(settings_faults_name_field)
{
    BOOST_TEST(settings_error(platform) == "none");
    BOOST_TEST(settings_error("\"weight\":1") ==
               "/platform: missing, but required");
    BOOST_TEST(settings_error("\"platform\":{\"address\":\"localhost\","
                              "\"port\":1}") ==
               "/platform/address: not a numeric IP address; host names are "
               "not resolved");
    BOOST_TEST(settings_error(platform + ",\"htp_port\":1") ==
               "/htp_port: unknown key; the nearest valid key is "
               "\"http_port\"");
    BOOST_TEST(settings_error(platform +
                              ",\"tunables\":{\"claim_window_ms\":2000000}") ==
               "/tunables/claim_window_ms: more than a third of "
               "/tunables/log_retention_ms");
}

// Guards against settings that are read but not stored.
BOOST_AUTO_TEST_CASE(settings_values_are_read)
{
    config_reason why;
    const auto loaded = settings::load(
        settings_with(platform + ",\"policy\":\"two_choices\",\"http_port\":80,"
                                 "\"tunables\":{\"claim_timeout_ms\":150}"),
        why);
    BOOST_REQUIRE(loaded);
    BOOST_TEST(to_string(loaded->policy()) == "two_choices");
    BOOST_TEST(loaded->http_port() == 80);
    BOOST_TEST(loaded->tunables().claim_timeout.count() == 150);
    BOOST_TEST(loaded->tunables().id_lifetime.count() == 600000);
    BOOST_TEST(loaded->platform_address() == "127.0.0.1");
}

BOOST_AUTO_TEST_SUITE_END()
