#include "base/hash.hpp"
#include "base/random_source.hpp"
#include "jobs/claim_ledger.hpp"
#include "jobs/issued_id.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace jujubedrum;

namespace
{

constexpr milliseconds retention(31'000);

claim_settings short_settings()
{
    claim_settings settings;
    settings.window = wall_time(10'000);
    settings.clock_skew = wall_time(500);
    settings.max_known_claims = 25;
    return settings;
}

/// Fault injected by the harness to show that the check detects it.
enum class fault
{
    none,
    win_on_reply,
};

/// Random schedule of several ledgers on one simulated log. A step is an event
/// of a random instance: a submission, an append, a lost or late reply, a read,
/// a delay, a trim, a suspension or a restart.
class claim_schedule
{
public:
    claim_schedule(std::uint64_t seed, fault injected)
        : random(seed)
        , injected(injected)
    {
        for (std::size_t i = 0; i < 4; ++i)
        {
            this->instances.push_back({nullptr, 0, {}, {}});
            this->restart(i);
        }
    }

    void step()
    {
        const std::size_t i = this->random.below(this->instances.size());
        switch (this->random.below(13))
        {
        case 0:
        case 1:
            this->submit(i);
            break;
        case 2:
        case 3:
            this->start_append(i);
            break;
        case 4:
        case 5:
            this->end_append();
            break;
        case 6:
        case 7:
            this->start_read(i);
            break;
        case 8:
        case 9:
            this->end_read();
            break;
        case 10:
            this->pass_time();
            break;
        case 11:
            this->at(i).expire(this->now, this->wall(i));
            break;
        default:
            if (this->random.below(40) == 0)
            {
                this->restart(i);
            }
            else if (this->random.below(40) == 0)
            {
                // Sets the clock back by less than window and retention allow.
                this->instances[i].clock_offset =
                    milliseconds(400) - milliseconds(this->random.below(6'000));
            }
            break;
        }
        for (std::size_t k = 0; k < this->instances.size(); ++k)
        {
            this->check(k);
        }
    }

    std::map<std::string, int> wins;
    int violations = 0;
    int losses = 0;
    int withdrawals = 0;
    int trims = 0;

private:
    struct instance_state
    {
        std::unique_ptr<claim_ledger> ledger;
        std::uint64_t incarnation;
        milliseconds clock_offset;
        std::set<std::string> withdrawn;
    };
    struct pending_append
    {
        std::size_t instance;
        std::uint64_t incarnation;
        claim_append append;
    };
    struct pending_read
    {
        std::size_t instance;
        std::uint64_t incarnation;
        std::uint64_t from;
        std::uint64_t first;
        std::vector<log_record> records;
        bool at_end;
    };

    claim_ledger& at(std::size_t i) { return *this->instances[i].ledger; }

    wall_time wall(std::size_t i) const
    {
        return std::chrono::duration_cast<milliseconds>(this->now) +
               milliseconds(1'000'000) + this->instances[i].clock_offset;
    }

    void restart(std::size_t i)
    {
        instance_state& state = this->instances[i];
        state.incarnation = this->random.next();
        state.clock_offset = milliseconds(this->random.below(400));
        state.withdrawn.clear();
        state.ledger = std::make_unique<claim_ledger>(
            "e" + std::to_string(i), state.incarnation, short_settings(),
            this->random.next());
    }

    void submit(std::size_t i)
    {
        if (this->jobs.empty() || this->random.below(4) == 0)
        {
            this->jobs.push_back(this->wall(i));
        }
        const std::size_t recent = std::min<std::size_t>(
            this->jobs.size(), this->random.below(20) == 0 ? 200 : 8);
        const std::size_t job =
            this->jobs.size() - 1 - this->random.below(recent);
        const std::string id = "job" + std::to_string(job);
        job_reason why;
        if (this->at(i).claim(id, sha256_hex(std::to_string(job)),
                              this->jobs[job], this->now, this->wall(i), why))
        {
            // A withdrawn id may be won only after it is claimed again.
            this->instances[i].withdrawn.erase(id);
        }
    }

    void start_append(std::size_t i)
    {
        if (auto append = this->at(i).next_append(this->now))
        {
            this->appends.push_back(
                {i, this->instances[i].incarnation, std::move(*append)});
        }
    }

    void end_append()
    {
        if (this->appends.empty())
        {
            return;
        }
        const std::size_t which = this->random.below(this->appends.size());
        const pending_append done = this->appends[which];
        this->appends.erase(this->appends.begin() + which);
        const bool written = this->random.below(4) != 0;
        const bool replied = this->random.below(3) != 0;
        if (written)
        {
            this->log.push_back({this->now, done.append.data});
        }
        if (!replied ||
            this->instances[done.instance].incarnation != done.incarnation)
        {
            return;
        }
        if (!written)
        {
            this->at(done.instance).on_append_failure(done.append.nonce, true);
            return;
        }
        this->at(done.instance).on_append_reply(done.append.nonce);
        if (this->injected == fault::win_on_reply)
        {
            const auto record = claim_record::parse(done.append.data);
            for (const claimed_id& claimed : record->ids)
            {
                this->win(claimed.id);
            }
        }
    }

    void start_read(std::size_t i)
    {
        const std::uint64_t from = this->at(i).position();
        pending_read read{i,    this->instances[i].incarnation,
                          from, this->first_retained,
                          {},   false};
        const std::uint64_t max_records = 1 + this->random.below(20);
        for (std::uint64_t n = std::max(from, this->first_retained);
             n < this->log.size() && read.records.size() < max_records; ++n)
        {
            read.records.push_back({n, this->log[n].second});
        }
        read.at_end = read.records.size() < max_records;
        this->reads.push_back(std::move(read));
    }

    void end_read()
    {
        if (this->reads.empty())
        {
            return;
        }
        const std::size_t which = this->random.below(this->reads.size());
        const pending_read read = this->reads[which];
        this->reads.erase(this->reads.begin() + which);
        if (this->random.below(8) != 0 &&
            this->instances[read.instance].incarnation == read.incarnation)
        {
            this->at(read.instance)
                .on_records(read.from, read.first, read.records, read.at_end,
                            this->now, this->wall(read.instance));
        }
    }

    void pass_time()
    {
        const std::uint64_t kind = this->random.below(300);
        const std::uint64_t max_step_ms = kind >= 4 && kind < 12 ? 4'000 : 60;
        this->now += milliseconds(1 + this->random.below(max_step_ms));
        if (kind < 4 && !this->log.empty())
        {
            // All instances are suspended until a recent record has just been
            // trimmed and the next one may still be retained.
            const std::size_t records_ago =
                this->random.below(std::min<std::size_t>(this->log.size(), 6));
            this->now = std::max(
                this->now, this->log[this->log.size() - 1 - records_ago].first +
                               retention + milliseconds(1));
        }
        while (this->first_retained < this->log.size() &&
               this->log[this->first_retained].first + retention < this->now)
        {
            ++this->first_retained;
            ++this->trims;
        }
    }

    void check(std::size_t i)
    {
        for (const claim_verdict& verdict : this->at(i).take_verdicts())
        {
            if (verdict.result == claim_result::won &&
                this->injected == fault::none)
            {
                this->violations += static_cast<int>(
                    this->instances[i].withdrawn.count(verdict.id));
                this->win(verdict.id);
            }
            if (verdict.result == claim_result::withdrawn)
            {
                this->instances[i].withdrawn.insert(verdict.id);
                ++this->withdrawals;
            }
            this->losses += verdict.result == claim_result::lost ? 1 : 0;
        }
    }

    void win(const std::string& id)
    {
        this->violations += ++this->wins[id] > 1 ? 1 : 0;
    }

    random_source random;
    fault injected;
    instant now = seconds(1);
    std::vector<std::pair<instant, std::string>> log;
    std::uint64_t first_retained = 0;
    std::vector<wall_time> jobs;
    std::vector<instance_state> instances;
    std::vector<pending_append> appends;
    std::vector<pending_read> reads;
};

std::uint64_t base_seed()
{
    const char* text = std::getenv("JUJUBEDRUM_SEED");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
}

/// Returns the number of schedules with a violation and prints seed and step of
/// the first one.
int failing_schedules(fault injected, int schedules, int steps)
{
    int failing = 0;
    int wins = 0;
    int losses = 0;
    int withdrawals = 0;
    int trims = 0;
    for (int n = 0; n < schedules; ++n)
    {
        const std::uint64_t seed = base_seed() + static_cast<unsigned>(n);
        claim_schedule schedule(seed, injected);
        for (int s = 0; s < steps && schedule.violations == 0; ++s)
        {
            schedule.step();
            if (schedule.violations > 0 && failing++ == 0)
            {
                std::cout << "claim schedule: seed=" << seed << " step=" << s
                          << " won an id twice or after it was withdrawn\n";
            }
        }
        wins += static_cast<int>(schedule.wins.size());
        losses += schedule.losses;
        withdrawals += schedule.withdrawals;
        trims += schedule.trims;
    }
    std::cout << "claim schedule: first seed=" << base_seed()
              << " schedules=" << schedules << " failing=" << failing
              << " won=" << wins << " lost=" << losses
              << " withdrawn=" << withdrawals << " trimmed=" << trims << "\n";
    if (injected == fault::none)
    {
        // Checks that the schedules decide claims and trim the log; otherwise
        // they test nothing.
        BOOST_TEST(wins > schedules);
        BOOST_TEST(losses > schedules);
        BOOST_TEST(withdrawals > schedules);
        BOOST_TEST(trims > schedules);
    }
    return failing;
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_schedule_suite)

// Guards against two instances, or two incarnations of one, winning the same
// id.
BOOST_AUTO_TEST_CASE(ledgers_random_schedule_win_each_id_once)
{
    BOOST_TEST(failing_schedules(fault::none, 60, 6000) == 0);
}

// Guards against schedules that do not detect an id being won on the reply to
// an append, without reading the stream.
BOOST_AUTO_TEST_CASE(schedule_win_on_append_reply_is_detected)
{
    BOOST_TEST(failing_schedules(fault::win_on_reply, 20, 6000) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
