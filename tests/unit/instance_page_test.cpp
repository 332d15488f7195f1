#include "membership/instance_page.hpp"
#include "membership/member_table.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jujubedrum;

BOOST_AUTO_TEST_SUITE(instance_page_suite)

// Guards against a field that is ignored or confused with another one.
BOOST_AUTO_TEST_CASE(parse_valid_page_reads_all_fields)
{
    membership_reason why;
    const auto page = parse_instance_page(
        R"({"version":7,"full":true,"changes":[
            {"name":"b1","role":"backend","domain":"d1","region":"r1",
             "address":"127.0.0.1","port":80,"rpc_port":0,"weight":2,
             "slots":8,"memory_mb":64000,"state":"leaving"},
            {"name":"e1","role":"entry","state":"gone"}]})",
        why);
    BOOST_REQUIRE_MESSAGE(page.has_value(), why.message());
    instance_page expected{7, true, {}};
    expected.changes.push_back({"b1", instance_role::backend, "d1", "r1",
                                "127.0.0.1", 80, 0, 2, 8, 64000,
                                listed_state::leaving});
    expected.changes.push_back({"e1", instance_role::entry, "", "", "", 0, 0, 1,
                                0, 0, listed_state::removed});
    BOOST_TEST((*page == expected));
}

// Guards against a malformed page that adds or removes instances.
BOOST_AUTO_TEST_CASE(parse_malformed_page_is_refused_with_pointer)
{
    const auto refuse = [](const std::string& text, const std::string& where)
    {
        membership_reason why;
        BOOST_TEST(!parse_instance_page(text, why));
        BOOST_TEST((why.code() == membership_error::malformed_page));
        BOOST_TEST(why.where() == where);
    };
    refuse("", "");
    refuse("[]", "");
    refuse(R"({"changes":[]})", "/");
}

// Guards against an odd entry that keeps the others from being followed, and
// against one that adds or removes an instance.
BOOST_AUTO_TEST_CASE(parse_malformed_entry_is_left_out_with_pointer)
{
    const auto leave_out = [](const std::string& entry, const std::string& name,
                              const std::string& where)
    {
        membership_reason why;
        const auto page = parse_instance_page(
            R"({"version":2,"changes":[{"name":"b1","role":"backend",)"
            R"("domain":"d1","address":"::1","port":9,"state":"live"},)" +
                entry + "]}",
            why);
        BOOST_REQUIRE(page);
        BOOST_TEST(page->version == 2U);
        BOOST_REQUIRE_EQUAL(page->changes.size(), 1U);
        BOOST_TEST(page->changes[0].name == "b1");
        BOOST_REQUIRE_EQUAL(page->malformed.size(), 1U);
        BOOST_TEST(page->malformed[0] == name);
        BOOST_TEST(page->malformed_reason.find(where) != std::string::npos);
    };
    leave_out("3", "", "/changes/1");
    leave_out(std::string(200'000, '[') + std::string(200'000, ']'), "",
              "/changes/1");
    leave_out(R"({"name":"a","role":"entry","state":"lost"})", "a",
              "/changes/1/state");
    for (const char* port :
         {"65536", "-1", "1e308", "3.7", "18446744073709551616", "\"80\""})
    {
        leave_out(R"({"name":"a","role":"entry","domain":"d",)"
                  R"("address":"::1","state":"live","port":)" +
                      std::string(port) + "}",
                  "a", "/changes/1/port");
    }
}

// A malformed entry names no server to use, but is no proof of its end.
BOOST_AUTO_TEST_CASE(list_malformed_entry_server_leaves_and_stays_listed)
{
    const std::string good =
        R"({"name":"b1","role":"backend","domain":"d1","address":"::1",)"
        R"("port":9,"slots":8,"state":"live"})";
    member_table table(instance_info{}, 1);
    membership_reason why;
    const auto apply =
        [&](const std::string& version, const std::string& entry, seconds at)
    {
        const auto page =
            parse_instance_page(R"({"full":true,"version":)" + version +
                                    R"(,"changes":[)" + entry + "]}",
                                why);
        BOOST_REQUIRE(page);
        table.on_list(*page, at);
    };
    apply("1", good, seconds(1));
    apply("2", R"({"name":"b1","role":"backend","port":65536})", seconds(2));
    BOOST_REQUIRE_EQUAL(table.backends().size(), 1U);
    BOOST_TEST((table.backends().at(0).state == listed_state::leaving));
    apply("3", "5", seconds(3));
    BOOST_TEST(table.backends().size() == 1U);
    apply("4", good, seconds(4));
    BOOST_TEST((table.backends().at(0).state == listed_state::live));
}

BOOST_AUTO_TEST_SUITE_END()
