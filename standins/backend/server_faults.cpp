#include "backend/server_faults.hpp"

namespace jujubedrum
{

void server_faults::update(const nlohmann::json& body)
{
    this->slow_factor = body.value("slow_factor", this->slow_factor);
    this->fail_all = body.value("fail_all", this->fail_all);
    this->draining = body.value("draining", this->draining);
    this->drop_replies = body.value("drop_replies", this->drop_replies);
    this->late_ms = body.value("late_ms", this->late_ms);
    this->frozen = body.value("frozen", this->frozen);
}

nlohmann::json server_faults::to_json() const
{
    return {{"slow_factor", this->slow_factor},
            {"fail_all", this->fail_all},
            {"draining", this->draining},
            {"late_ms", this->late_ms},
            {"frozen", this->frozen},
            {"drop_replies", this->drop_replies}};
}

} // namespace jujubedrum
