#include "base/hash.hpp"
#include "jobs/claim_ledger.hpp"

#include <boost/test/unit_test.hpp>

using namespace jujubedrum;

namespace
{

constexpr wall_time wall(1'700'000'000'000);

struct ledger_fixture
{
    claim_ledger ledger{"e1", 1, claim_settings(), 100};
    job_reason why;

    bool claim(const std::string& id, instant now = seconds(1))
    {
        return this->ledger.claim(id, sha256_hex(id), wall, now, wall,
                                  this->why);
    }

    void read(std::uint64_t from, std::uint64_t first,
              const std::vector<log_record>& records, instant now = seconds(1))
    {
        this->ledger.on_records(from, first, records, true, now, wall);
    }

    std::string record(const std::string& instance, const std::string& id)
    {
        return claim_record{instance, 2, 9, {{id, sha256_hex(id), wall}}}
            .to_json();
    }

    std::vector<claim_result> results()
    {
        std::vector<claim_result> all;
        for (const claim_verdict& verdict : this->ledger.take_verdicts())
        {
            all.push_back(verdict.result);
        }
        return all;
    }
};

using verdict_list = std::vector<claim_result>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(claim_ledger_suite, ledger_fixture)

// Guards against deciding a claim by the reply to an append or before the
// stream was read.
BOOST_AUTO_TEST_CASE(claim_own_record_first_wins_once)
{
    this->claim("a");
    this->claim("b");
    BOOST_TEST(!this->ledger.next_append(seconds(1)).has_value());
    this->read(0, 0, {});
    const auto append = this->ledger.next_append(seconds(1));
    BOOST_REQUIRE(append);
    BOOST_TEST(claim_record::parse(append->data)->ids.size() == 2);
    this->ledger.on_append_reply(append->nonce);
    BOOST_TEST((this->results() == verdict_list()));
    BOOST_TEST(this->ledger.needs_read());
    this->read(0, 0, {{0, append->data}, {1, append->data}});
    BOOST_TEST((this->results() ==
                verdict_list{claim_result::won, claim_result::won}));
    BOOST_TEST(!this->ledger.needs_read());
    this->claim("a");
    const auto again = this->ledger.take_verdicts();
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST((again[0].result == claim_result::lost));
    BOOST_TEST(again[0].instance == "e1");
}

// Guards against starting an id that an earlier record of a peer claims.
BOOST_AUTO_TEST_CASE(claim_earlier_record_of_peer_loses)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto append = this->ledger.next_append(seconds(1));
    this->read(0, 0, {{0, this->record("e2", "a")}, {1, append->data}});
    const auto verdicts = this->ledger.take_verdicts();
    BOOST_REQUIRE(verdicts.size() == 1);
    BOOST_TEST((verdicts[0] == claim_verdict{"a", claim_result::lost, "e2", 2,
                                             sha256_hex("a")}));
}

// Guards against skipping missing records, which may hold an earlier claim.
BOOST_AUTO_TEST_CASE(on_records_missing_records_decide_nothing)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto append = this->ledger.next_append(seconds(1));
    this->read(1, 0, {{1, append->data}});
    this->read(0, 0, {{1, append->data}});
    BOOST_TEST(this->ledger.gaps() == 2);
    BOOST_TEST(this->ledger.position() == 0);
    BOOST_TEST((this->results() == verdict_list()));
    this->read(0, 0, {{0, this->record("e2", "x")}, {1, append->data}});
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
}

// Guards against starting a withdrawn id because its record is read late, and
// against refusing the id when its caller submits it again.
BOOST_AUTO_TEST_CASE(claim_record_after_timeout_wins_only_when_claimed_again)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto append = this->ledger.next_append(seconds(1));
    this->ledger.on_append_failure(append->nonce, false);
    this->read(0, 0, {{0, append->data}}, seconds(4));
    BOOST_TEST((this->results() == verdict_list{claim_result::withdrawn}));
    this->claim("a", seconds(4));
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
    BOOST_TEST(!this->ledger.next_append(seconds(5)).has_value());
    this->claim("a", seconds(6));
    BOOST_TEST((this->results() == verdict_list{claim_result::lost}));
}

// Guards against winning an id twice: after a timeout, the stream can hold the
// records of both the first and the second append.
BOOST_AUTO_TEST_CASE(claim_again_after_timeout_both_records_win_once)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto first = this->ledger.next_append(seconds(1));
    this->ledger.on_append_failure(first->nonce, false);
    this->ledger.expire(seconds(4), wall);
    BOOST_TEST((this->results() == verdict_list{claim_result::withdrawn}));
    this->claim("a", seconds(4));
    const auto second = this->ledger.next_append(seconds(4));
    BOOST_REQUIRE(second);
    this->read(0, 0, {{0, first->data}, {1, second->data}}, seconds(5));
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
}

// Guards against winning an id that another instance claimed between the
// withdrawal and the second claim.
BOOST_AUTO_TEST_CASE(claim_again_after_timeout_earlier_peer_record_loses)
{
    this->read(0, 0, {});
    this->claim("a");
    this->ledger.expire(seconds(4), wall);
    BOOST_TEST((this->results() == verdict_list{claim_result::withdrawn}));
    this->claim("a", seconds(4));
    const auto append = this->ledger.next_append(seconds(4));
    BOOST_REQUIRE(append);
    this->read(0, 0, {{0, this->record("e2", "a")}, {1, append->data}},
               seconds(5));
    BOOST_TEST((this->results() == verdict_list{claim_result::lost}));
}

// Guards against starting a job under a late record of this instance that
// claims the id for another body.
BOOST_AUTO_TEST_CASE(claim_again_with_other_digest_late_record_loses)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto first = this->ledger.next_append(seconds(1));
    this->ledger.expire(seconds(4), wall);
    BOOST_TEST((this->results() == verdict_list{claim_result::withdrawn}));
    BOOST_REQUIRE(this->ledger.claim("a", sha256_hex("other"), wall, seconds(4),
                                     wall, this->why));
    this->read(0, 0, {{0, first->data}}, seconds(4));
    BOOST_TEST((this->results() == verdict_list{claim_result::lost}));
    this->claim("a", seconds(5));
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
}

// Guards against losing a claim because the reply to the append is missing or
// the append was refused.
BOOST_AUTO_TEST_CASE(on_append_failure_resolved_by_reading_or_new_append)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto lost = this->ledger.next_append(seconds(1));
    this->ledger.on_append_failure(lost->nonce, false);
    this->read(0, 0, {{0, lost->data}});
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
    this->claim("b");
    const auto refused = this->ledger.next_append(seconds(2));
    this->ledger.on_append_failure(refused->nonce, true);
    BOOST_TEST(!this->ledger.next_append(seconds(2)).has_value());
    const auto second = this->ledger.next_append(seconds(3));
    BOOST_REQUIRE(second);
    BOOST_TEST(second->nonce != refused->nonce);
    this->read(1, 0, {{1, second->data}});
    BOOST_TEST((this->results() == verdict_list{claim_result::won}));
}

// Guards against claiming an id whose first claim may have been trimmed.
BOOST_AUTO_TEST_CASE(claim_outside_window_refuses)
{
    const auto claim_at = [this](wall_time created_at)
    {
        return this->ledger.claim("a", sha256_hex("a"), created_at, seconds(1),
                                  wall, this->why);
    };
    BOOST_TEST(!claim_at(wall - seconds(601)));
    BOOST_TEST((this->why.code() == job_error::too_old));
    BOOST_TEST(!claim_at(wall + seconds(31)));
    BOOST_TEST((this->why.code() == job_error::in_future));
    BOOST_TEST(claim_at(wall - seconds(600)));
    this->ledger.expire(seconds(1), wall + seconds(100));
    BOOST_TEST(!claim_at(wall - seconds(550)));
}

// Guards against winning an id that became older than the claim window while
// its claim was pending.
BOOST_AUTO_TEST_CASE(on_records_id_left_window_withdraws)
{
    this->read(0, 0, {});
    this->claim("a");
    const auto append = this->ledger.next_append(seconds(1));
    this->ledger.on_records(0, 0, {{0, append->data}}, true, seconds(1),
                            wall + milliseconds(600'001));
    BOOST_TEST((this->results() == verdict_list{claim_result::withdrawn}));
}

// Guards against memory use that grows with the stream, and against never
// finishing the first read of a trimmed stream.
BOOST_AUTO_TEST_CASE(on_records_trimmed_stream_is_read_and_pruned)
{
    this->read(0, 50, {{50, this->record("e2", "a")}, {51, "{}"}, {52, "["}});
    BOOST_TEST(this->ledger.position() == 53);
    BOOST_TEST(this->ledger.malformed() == 2);
    BOOST_TEST(this->ledger.known() == 1);
    this->ledger.expire(seconds(1), wall + seconds(601));
    BOOST_TEST(this->ledger.known() == 0);
}

// Guards against an unbounded queue of claims while the log is unavailable.
BOOST_AUTO_TEST_CASE(claim_too_many_pending_refuses)
{
    for (int i = 0; i < 4096; ++i)
    {
        BOOST_REQUIRE(this->claim("a" + std::to_string(i)));
    }
    BOOST_TEST(!this->claim("b"));
    BOOST_TEST((this->why.code() == job_error::capacity_exceeded));
    this->read(0, 0, {});
    const auto append = this->ledger.next_append(seconds(1));
    BOOST_TEST(claim_record::parse(append->data)->ids.size() ==
               claim_record::max_ids);
    this->ledger.expire(seconds(4), wall);
    BOOST_TEST(this->ledger.pending() == 0);
    BOOST_TEST(this->results().size() == 4096);
}

BOOST_AUTO_TEST_SUITE_END()
