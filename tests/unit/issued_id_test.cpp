#include "jobs/id_issuer.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

BOOST_AUTO_TEST_SUITE(issued_id_suite)

// Guards against accepting two texts of one id, which would be two jobs.
BOOST_AUTO_TEST_CASE(parse_text_other_than_canonical_refuses)
{
    const issued_id id("e.1", 0xabc, 7);
    BOOST_TEST(id.text() == "i.e.1.0000000000000abc.7");
    BOOST_TEST((issued_id::parse(id.text()) == id));
    for (const char* text :
         {"", "i.", "i.e1", "i.e1.7", "i..0000000000000abc.7",
          "i.e1.0000000000000abc.07", "i.e1.0000000000000abc.0",
          "i.e1.0000000000000ABC.7", "i.e1.abc.7", "i.e1.0000000000000abc.-7",
          "i.e1.0000000000000abc.99999999999999999999",
          "i.e 1.0000000000000abc.7", "x.e1.0000000000000abc.7"})
    {
        BOOST_TEST(!issued_id::parse(text).has_value(), text);
    }
}

// Guards against starting ids of another process or ids never issued.
BOOST_AUTO_TEST_CASE(usable_only_own_issued_sequences)
{
    id_issuer issuer("e1", 5, seconds(600));
    const id_block block = issuer.issue(3, seconds(1));
    BOOST_TEST(block.to_json() == R"({"ids":["i.e1.0000000000000005.1",)"
                                  R"("i.e1.0000000000000005.2",)"
                                  R"("i.e1.0000000000000005.3"]})");
    BOOST_TEST(issuer.usable(block.at(2), seconds(1)));
    BOOST_TEST(!issuer.usable(issued_id("e1", 5, 4), seconds(1)));
    BOOST_TEST(!issuer.usable(issued_id("e1", 6, 1), seconds(1)));
    BOOST_TEST(!issuer.usable(issued_id("e2", 5, 1), seconds(1)));
    BOOST_TEST(issuer.issue(0, seconds(1)).size() == 1);
    BOOST_TEST(issuer.issue(1'000'000, seconds(1)).size() ==
               id_issuer::max_block_size);
}

// Guards against accepting an id that the job table may have removed, and
// against memory use that grows with the number of ids.
BOOST_AUTO_TEST_CASE(usable_after_lifetime_expires)
{
    id_issuer issuer("e1", 5, seconds(600));
    const id_block first = issuer.issue(1, seconds(1));
    for (int i = 0; i < 2'000'000; ++i)
    {
        issuer.issue(2, seconds(2) + microseconds(i) * 500);
    }
    BOOST_TEST(issuer.ranges() <= 601);
    BOOST_TEST(!issuer.usable(first.at(0), seconds(601)));
    BOOST_TEST(issuer.was_issued(first.at(0)));
    const id_block last = issuer.issue(1, seconds(2000));
    BOOST_TEST(issuer.usable(last.at(0), seconds(2599)));
    BOOST_TEST(!issuer.usable(last.at(0), seconds(2600)));
    BOOST_TEST(issuer.last_expired_sequence(seconds(2600)) ==
               last.at(0).sequence());
    BOOST_TEST(issuer.ranges() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
