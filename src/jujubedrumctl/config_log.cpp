#include "config_log.hpp"

#include <thread>

namespace jujubedrum
{

namespace
{

constexpr std::size_t page_size = 500;
constexpr std::chrono::milliseconds retry_backoff(100);

} // namespace

config_log::config_log(platform_client& client,
                       const std::string& admin_public_key)
    : client(client)
    , folded(admin_public_key)
{
}

std::optional<bool> config_log::read(std::chrono::milliseconds max_wait,
                                     platform_reason& why)
{
    const auto page = this->client.read("config", this->folded.next_offset(),
                                        page_size, max_wait, why);
    if (!page)
    {
        return std::nullopt;
    }
    this->folded.set_first_retained(page->first_retained);
    for (const log_record& record : page->records)
    {
        this->folded.apply(record.offset, record.data);
    }
    return page->records.empty();
}

bool config_log::read_to_end(std::chrono::steady_clock::time_point deadline,
                             platform_reason& why)
{
    do
    {
        const auto at_end = this->read(std::chrono::milliseconds(0), why);
        if (at_end && *at_end && !this->folded.awaiting_snapshot())
        {
            return true;
        }
        if (!at_end || *at_end)
        {
            std::this_thread::sleep_for(retry_backoff);
        }
        if (at_end)
        {
            why = {platform_error::timeout, "stream config",
                   "its first records are no longer retained and no snapshot "
                   "was found"};
        }
    } while (std::chrono::steady_clock::now() < deadline);
    return false;
}

} // namespace jujubedrum
