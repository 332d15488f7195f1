#include "node/server_session.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace jujubedrum
{

namespace
{

/// Bounds every wait; generous, since no check depends on being faster.
constexpr milliseconds wait_timeout{20000};

/// Requests that a session has sent, with their callbacks.
struct recorded_requests
{
    std::vector<std::pair<start_request, std::function<void(start_outcome)>>>
        starts;
    std::vector<std::pair<poll_request, std::function<void(poll_reply)>>> polls;
    bool lose_polls = false; ///< further ones get no reply
};

class recording_channel : public server_channel
{
public:
    recording_channel(event_loop& events, recorded_requests& all)
        : loop(events)
        , requests(all)
    {
    }

    void start(const start_request& request,
               std::function<void(start_outcome)> done) override
    {
        this->requests.starts.emplace_back(request, std::move(done));
    }
    void stop(const run_id&, std::uint64_t, std::function<void(bool)>) override
    {
    }
    void poll(const poll_request& request,
              std::function<void(poll_reply)> done) override
    {
        this->requests.polls.emplace_back(request, done);
        if (this->requests.lose_polls)
        {
            this->loop.after(milliseconds(1),
                             [done = std::move(done)] { done({}); });
        }
    }
    void close() override {}

private:
    event_loop& loop;
    recorded_requests& requests;
};

/// A session with one server, whose dispatcher starts tasks through it.
struct session_fixture : task_launcher, job_listener
{
    void begin(std::uint64_t token)
    {
        server_info& info = this->info;
        info.id = "s1";
        info.service = "service";
        info.domain = "d1";
        info.capacity = {16000, 32768, 0};
        this->dispatcher.set_server(info);
        this->session = server_session::create(
            this->loop, info, token, this->options,
            std::make_unique<recording_channel>(this->loop, this->requests),
            this->dispatcher, [this] { ++this->fenced; });
        this->session->begin();
        this->answer_poll(0);
    }
    void answer_poll(std::size_t number, std::vector<active_run> running = {})
    {
        poll_reply reply;
        reply.outcome = poll_outcome::answered;
        reply.incarnation = this->running_incarnation;
        reply.server_clock = this->server_clock;
        reply.running = std::move(running);
        this->requests.polls.at(number).second(reply);
    }
    void refuse_poll(std::size_t number)
    {
        poll_reply reply;
        reply.outcome = poll_outcome::fenced;
        this->requests.polls.at(number).second(reply);
    }
    bool wait_for_polls(std::size_t count)
    {
        return this->loop.run_until(
            [&] { return this->requests.polls.size() >= count; }, wait_timeout);
    }
    void submit(std::uint32_t tasks)
    {
        job_request job;
        job.id = "a";
        job.payload = "payload";
        job_step step;
        step.count = tasks;
        step.demand = {6800, 64, 0};
        step.estimate = milliseconds(1000);
        job.steps.push_back(step);
        job_terms terms;
        terms.service = "service";
        terms.max_attempts = 3;
        terms.target = milliseconds(2000);
        terms.time_left = milliseconds(30000);
        this->dispatcher.submit(job, terms, {0, 1}, event_loop::now());
    }
    void start(const std::string&, const run_id& run,
               const std::string& payload) override
    {
        this->session->start(run, payload);
    }
    void stop(const std::string&, const run_id& run) override
    {
        this->session->stop(run);
    }
    void poll(const std::string&) override { this->session->poll_soon(); }
    void job_ended(const job_origin&, const job_result&,
                   const job_report&) override
    {
    }

    event_loop loop;
    lease_options options;
    server_info info;
    std::uint64_t running_incarnation = 0; ///< in poll replies
    milliseconds server_clock{5000};       ///< in poll replies
    recorded_requests requests;
    pool_dispatcher dispatcher{dispatch_options{}, *this, *this};
    std::shared_ptr<server_session> session;
    int fenced = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_session_suite, session_fixture)

// Guards against a late start: polls after an unanswered one have to carry a
// higher token, and only their replies settle it.
BOOST_AUTO_TEST_CASE(start_unanswered_next_poll_has_higher_token)
{
    this->begin(tokens_per_hold);
    this->submit(1);
    BOOST_REQUIRE_EQUAL(this->requests.starts.size(), 1);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 2);
    BOOST_TEST(this->requests.starts[0].first.token == tokens_per_hold);
    this->requests.starts[0].second(start_outcome::unanswered);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    BOOST_TEST(this->requests.polls[2].first.token == tokens_per_hold + 1);
    this->answer_poll(1);
    BOOST_TEST(this->requests.starts.size() == 1);
    this->answer_poll(2);
    BOOST_REQUIRE_EQUAL(this->requests.starts.size(), 2);
    BOOST_TEST(this->requests.starts[1].first.token == tokens_per_hold + 1);
}

// Guards against giving up the pool when the session's own later request has
// overtaken one with a lower token.
BOOST_AUTO_TEST_CASE(requests_overtaken_by_own_token_repeated)
{
    this->begin(tokens_per_hold);
    this->submit(2);
    BOOST_REQUIRE_EQUAL(this->requests.starts.size(), 2);
    this->requests.starts[0].second(start_outcome::unanswered);
    this->requests.starts[1].second(start_outcome::fenced);
    BOOST_TEST(this->requests.starts.size() == 3);
    this->refuse_poll(1);
    BOOST_TEST(this->fenced == 0);
    BOOST_TEST(this->requests.polls.back().first.token == tokens_per_hold + 1);
    this->refuse_poll(this->requests.polls.size() - 1);
    BOOST_TEST(this->fenced == 1);
}

// A poll in progress carries the lower token, so another has to follow it.
BOOST_AUTO_TEST_CASE(token_raised_during_extra_poll_polled_again)
{
    this->begin(tokens_per_hold);
    this->submit(2);
    this->requests.starts.at(0).second(start_outcome::unanswered);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    this->requests.starts.at(1).second(start_outcome::unanswered);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    this->answer_poll(2);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 4);
    BOOST_TEST(this->requests.polls[3].first.token == tokens_per_hold + 2);
}

// Guards against a late renewal. Polls that renew nothing may take effect late.
BOOST_AUTO_TEST_CASE(renewal_unanswered_next_poll_has_higher_token)
{
    this->begin(tokens_per_hold);
    BOOST_REQUIRE(this->requests.polls.at(1).first.lease_until.has_value());
    this->requests.polls[1].second(poll_reply{});
    BOOST_REQUIRE(this->wait_for_polls(3));
    BOOST_TEST(this->requests.polls[2].first.token == tokens_per_hold + 1);
    this->answer_poll(2);
    this->session->poll_soon();
    this->requests.polls.back().second(poll_reply{});
    this->session->poll_soon();
    BOOST_TEST(this->requests.polls.back().first.token == tokens_per_hold + 1);
}

// Guards against several late renewals, each of which could prolong the lease.
BOOST_AUTO_TEST_CASE(renewal_unanswered_none_sent_until_an_answer)
{
    this->begin(tokens_per_hold);
    BOOST_REQUIRE(this->requests.polls.at(1).first.lease_until.has_value());
    this->requests.polls[1].second(poll_reply{});
    BOOST_REQUIRE(this->wait_for_polls(3));
    BOOST_TEST(!this->requests.polls[2].first.lease_until.has_value());
    this->requests.polls[2].second(poll_reply{});
    BOOST_REQUIRE(this->wait_for_polls(4));
    BOOST_TEST(!this->requests.polls[3].first.lease_until.has_value());
    this->answer_poll(3);
    BOOST_REQUIRE(this->wait_for_polls(5));
    BOOST_TEST(this->requests.polls[4].first.lease_until.has_value());
}

// Guards against renewals for a run that appeared after the takeover and cannot
// be stopped: a restarted server has carried out an old start, and stops to it
// get lost.
BOOST_AUTO_TEST_CASE(unknown_run_not_stopped_lease_not_renewed)
{
    const active_run unknown{{{"other", 0, 0}, 1}, 0};
    this->begin(tokens_per_hold);
    this->answer_poll(1, {unknown});
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    BOOST_TEST(this->requests.polls[2].first.lease_until.has_value());
    this->loop.run_until([] { return false; }, milliseconds(200));
    this->answer_poll(2, {unknown});
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 4);
    BOOST_TEST(!this->requests.polls[3].first.lease_until.has_value());
    BOOST_TEST(!this->session->is_reachable());
    this->answer_poll(3);
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 5);
    BOOST_TEST(this->requests.polls[4].first.lease_until.has_value());
    BOOST_TEST(this->session->is_reachable());
}

// Guards against a server that checks no capacity and gets more than it has: a
// run that the dispatcher does not have takes a part of it. A restarted server
// has carried out an old start, or one of an earlier holder.
BOOST_AUTO_TEST_CASE(unknown_run_nothing_starts_until_it_is_gone)
{
    const active_run unknown{{{"other", 0, 0}, 1}, 0};
    this->begin(tokens_per_hold);
    this->submit(3);
    BOOST_REQUIRE_EQUAL(this->requests.starts.size(), 2);
    this->requests.starts[0].second(start_outcome::accepted);
    this->requests.starts[1].second(start_outcome::accepted);
    const active_run second{this->requests.starts[1].first.run, 0};
    poll_reply reply;
    reply.outcome = poll_outcome::answered;
    reply.server_clock = this->server_clock;
    reply.running = {unknown, second};
    reply.ended = {{1, this->requests.starts[0].first.run, run_outcome::done}};
    this->requests.polls.at(1).second(reply);
    BOOST_TEST(this->requests.starts.size() == 2);
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.size() == 2);
    this->answer_poll(this->requests.polls.size() - 1, {second});
    BOOST_TEST(this->requests.starts.size() == 3);
}

// A reply that was overtaken lists a run that has ended since. It must not keep
// the server from further tasks.
BOOST_AUTO_TEST_CASE(reply_overtaken_its_runs_not_taken_for_unknown)
{
    this->begin(tokens_per_hold);
    this->submit(1);
    this->requests.starts.at(0).second(start_outcome::accepted);
    const active_run ended{this->requests.starts[0].first.run, 0};
    this->session->poll_soon();
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    poll_reply reply;
    reply.outcome = poll_outcome::answered;
    reply.server_clock = this->server_clock + milliseconds(10);
    reply.ended = {{1, ended.run, run_outcome::done}};
    this->requests.polls[1].second(reply);
    this->answer_poll(2, {ended});
    BOOST_TEST(this->session->is_reachable());
}

// The server is lost for good, so the task does not wait for its answer.
BOOST_AUTO_TEST_CASE(start_unanswered_server_lost_task_freed_after_its_delay)
{
    this->options.max_lease = milliseconds(100);
    this->options.start_validity = milliseconds(20);
    this->options.max_start_delay = milliseconds(1000);
    this->begin(tokens_per_hold);
    this->submit(1);
    const instant sent = event_loop::now();
    this->requests.starts.at(0).second(start_outcome::unanswered);
    this->requests.lose_polls = true;
    this->requests.polls.at(1).second(poll_reply{});
    BOOST_REQUIRE(this->loop.run_until(
        [this] { return !this->dispatcher.has_runs("s1"); }, wait_timeout));
    BOOST_CHECK(event_loop::now() - sent >= milliseconds(1100));
}

// Guards against starts by the labels and the capacity of an earlier boot
// (review/4 and 5): the poll reply of a new boot arrives before its entry.
BOOST_AUTO_TEST_CASE(server_restarted_nothing_starts_before_its_entry)
{
    this->info.incarnation = 100;
    this->running_incarnation = 100;
    this->begin(tokens_per_hold);
    this->running_incarnation = 200;
    this->answer_poll(1);
    this->submit(1);
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.empty());
    this->dispatcher.set_server(this->info); // of the earlier boot, read late
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.empty());
    this->info.incarnation = 200;
    this->dispatcher.set_server(this->info);
    this->submit(1);
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.size() == 1);
}

// Guards against starts on an earlier boot by the entry of the next one.
BOOST_AUTO_TEST_CASE(entry_of_new_boot_nothing_starts_before_its_poll_reply)
{
    this->info.incarnation = 100;
    this->running_incarnation = 100;
    this->begin(tokens_per_hold);
    this->info.incarnation = 200;
    this->dispatcher.set_server(this->info);
    this->submit(1);
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.empty());
    this->running_incarnation = 200;
    this->answer_poll(1);
    this->submit(1);
    BOOST_TEST(this->requests.starts.size() == 1);
}

// Guards against going back to an earlier boot, whose reply arrives after one
// of the next boot.
BOOST_AUTO_TEST_CASE(reply_of_earlier_boot_overtaken_is_ignored)
{
    this->info.incarnation = 100;
    this->running_incarnation = 100;
    this->begin(tokens_per_hold);
    this->session->poll_soon();
    BOOST_REQUIRE_EQUAL(this->requests.polls.size(), 3);
    this->running_incarnation = 200;
    this->answer_poll(2);
    this->running_incarnation = 100;
    this->answer_poll(1);
    this->submit(1);
    this->dispatcher.pump(event_loop::now());
    BOOST_TEST(this->requests.starts.empty());
}

// Guards against tokens of the next holder.
BOOST_AUTO_TEST_CASE(tokens_used_up_pool_given_up)
{
    this->begin(2 * tokens_per_hold - 1);
    this->submit(1);
    this->requests.starts.at(0).second(start_outcome::unanswered);
    BOOST_TEST(this->fenced == 1);
    for (const auto& [request, done] : this->requests.polls)
    {
        BOOST_TEST(request.token < 2 * tokens_per_hold);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jujubedrum
