#include "platform/platform_faults.hpp"

namespace jujubedrum
{

void platform_faults::update(const nlohmann::json& body)
{
    this->down = body.value("down", this->down);
    this->delay_ms = body.value("delay_ms", this->delay_ms);
    this->append_delay_ms =
        body.value("append_delay_ms", this->append_delay_ms);
    this->lose_replies = body.value("lose_replies", this->lose_replies);
    this->drop_appends = body.value("drop_appends", this->drop_appends);
    this->lag_records = body.value("lag_records", this->lag_records);
    this->list_lag_ms = body.value("list_lag_ms", this->list_lag_ms);
    this->list_frozen = body.value("list_frozen", this->list_frozen);
}

nlohmann::json platform_faults::to_json() const
{
    return {{"down", this->down},
            {"delay_ms", this->delay_ms},
            {"append_delay_ms", this->append_delay_ms},
            {"lose_replies", this->lose_replies},
            {"drop_appends", this->drop_appends},
            {"lag_records", this->lag_records},
            {"list_lag_ms", this->list_lag_ms},
            {"list_frozen", this->list_frozen}};
}

} // namespace jujubedrum
