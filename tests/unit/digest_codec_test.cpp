#include "membership/digest_codec.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <string>

using namespace jujubedrum;

BOOST_AUTO_TEST_SUITE(digest_codec_suite)

// Guards against a field that encoding alters, and against a truncated digest
// that is accepted.
BOOST_AUTO_TEST_CASE(decode_inverts_encode_and_refuses_every_prefix)
{
    const std::uint64_t max = std::numeric_limits<std::uint64_t>::max();
    const peer_digest digest{
        "entry-1", std::string(128, 'd'),
        max,       peer_phase::ready,
        max,       127,
        128,       0xffffffffU,
        {0, max},  {{"e2", 1, 2, peer_state::leaving, max}}};
    const std::string bytes = encode_digest(digest);
    membership_reason why;
    BOOST_TEST((decode_digest(bytes, why) == digest));
    BOOST_TEST((decode_digest(bytes + "later field", why) == digest));
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        BOOST_TEST(!decode_digest(bytes.substr(0, size), why));
        BOOST_TEST((why.code() == membership_error::malformed_digest));
    }
}

// Guards against a digest that grows without bound with its lists.
BOOST_AUTO_TEST_CASE(encode_long_lists_truncates)
{
    peer_digest digest;
    digest.held_grants.resize(1000, 1);
    digest.observations.resize(100);
    membership_reason why;
    const auto read = decode_digest(encode_digest(digest), why);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->held_grants.size() == peer_digest::max_held_grants);
    BOOST_TEST(read->observations.size() == peer_digest::max_observations);
}

BOOST_AUTO_TEST_SUITE_END()
