#include "membership/instance_page.hpp"

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
    refuse(R"({"version":1,"changes":[3]})", "/changes/0");
    refuse(R"({"version":1,"changes":[{"name":"a","role":"entry",
              "state":"lost"}]})",
           "/changes/0/state");
    refuse(R"({"version":1,"changes":[{"name":"a","role":"entry",
              "domain":"d","address":"::1","port":65536,"state":"live"}]})",
           "/changes/0/port");
}

BOOST_AUTO_TEST_SUITE_END()
