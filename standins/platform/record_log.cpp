#include "platform/record_log.hpp"

#include <algorithm>

namespace jujubedrum
{

record_log::record_log(std::size_t retain_records, microseconds retain_time)
    : retain_records(retain_records)
    , retain_time(retain_time)
{
}

std::uint64_t record_log::append(std::string data, instant now)
{
    this->records.push_back({std::move(data), now});
    this->expire(now);
    return this->head() - 1;
}

void record_log::expire(instant now)
{
    while (!this->records.empty() &&
           (this->records.size() > this->retain_records ||
            now - this->records.front().appended > this->retain_time))
    {
        this->records.pop_front();
        ++this->first;
    }
}

record_page record_log::read(std::uint64_t from, std::size_t max,
                             std::uint64_t lag) const
{
    const std::uint64_t visible = this->head() - std::min(lag, this->head());
    record_page page;
    page.first_retained = std::min(this->first, visible);
    page.next = std::max(from, page.first_retained);
    for (std::uint64_t offset = std::max(from, this->first);
         offset < visible && page.records.size() < max; ++offset)
    {
        page.records.emplace_back(offset,
                                  this->records[offset - this->first].data);
        page.next = offset + 1;
    }
    return page;
}

std::uint64_t record_log::head() const
{
    return this->first + this->records.size();
}

} // namespace jujubedrum
