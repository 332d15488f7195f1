#include "jobs/claim_ledger.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace jujubedrum;

namespace
{

constexpr wall_time wall(1'700'000'000'000);
const std::string digest(64, 'a');

void check(bool holds)
{
    if (!holds)
    {
        std::abort();
    }
}

void check_record(std::string_view text)
{
    const auto record = claim_record::parse(text);
    if (record)
    {
        const auto again = claim_record::parse(record->to_json());
        check(again.has_value() && *again == *record);
    }
}

/// Uses the lines of the text as records that precede the record of the ledger
/// under test. The ledger must win its id unless one of them claims it.
void check_ledger(std::string_view text)
{
    claim_ledger ledger("e1", 1, claim_settings(), 7);
    job_reason why;
    ledger.on_records(0, 0, {}, true, seconds(1), wall);
    check(ledger.claim("job", digest, wall, seconds(1), wall, why));
    const auto append = ledger.next_append(seconds(1));
    check(append.has_value());
    std::vector<log_record> records;
    bool claimed_before = false;
    while (!text.empty())
    {
        const std::string line(text.substr(0, text.find('\n')));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const auto record = claim_record::parse(line);
        for (const claimed_id& claimed :
             record ? record->ids : std::vector<claimed_id>())
        {
            claimed_before = claimed_before || claimed.id == "job";
        }
        records.push_back({records.size(), line});
    }
    records.push_back({records.size(), append->data});
    ledger.on_records(0, 0, records, true, seconds(1), wall);
    const auto verdicts = ledger.take_verdicts();
    check(verdicts.size() == 1);
    check((verdicts[0].result == claim_result::won) == !claimed_before);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    check_record(text.substr(0, text.find('\n')));
    check_ledger(text);
    return 0;
}

std::vector<std::string> fuzz_seeds()
{
    const claim_record own{"e2", 2, 9, {{"job", digest, wall}}};
    const claim_record other{
        "e3", 3, 10, {{"x", digest, wall}, {"y:1", digest, wall}}};
    return {own.to_json(), other.to_json(),
            other.to_json() + "\n" + own.to_json() + "\n",
            "{}\n" + other.to_json()};
}
