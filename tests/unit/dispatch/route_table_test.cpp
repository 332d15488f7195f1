#include "dispatch/route_table.hpp"

#include <boost/test/unit_test.hpp>

namespace jujubedrum
{

namespace
{

route make_route(const std::string& host, const std::string& prefix)
{
    route result;
    result.name = host + prefix;
    result.host = host;
    result.prefix = prefix;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_suite)

// An earlier configuration must never replace a later one.
BOOST_AUTO_TEST_CASE(apply_older_version_refused)
{
    route_table table;
    BOOST_TEST(table.apply({7, {make_route("h", "/a/")}, {}}));
    BOOST_TEST(!table.apply({6, {}, {}}));
    BOOST_TEST(!table.apply({7, {}, {}}));
    BOOST_TEST(table.version() == 7);
    BOOST_TEST(table.find("h", "/a/1") != nullptr);
}

BOOST_AUTO_TEST_CASE(find_longest_prefix_of_the_host_wins)
{
    route_table table;
    table.apply({1,
                 {make_route("h", "/a/"), make_route("h", "/a/b/"),
                  make_route("other", "/a/b/c/")},
                 {}});
    const route* found = table.find("H:8080", "/a/b/c/1");
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST(found->prefix == "/a/b/");
    BOOST_TEST(table.find("h", "/b/") == nullptr);
    BOOST_TEST(table.find("none", "/a/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
