#include "config/json_schema.hpp"

#include "config/schema_fault.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace jujubedrum
{

namespace
{

// Converts valijson's path, such as "<root>", "[kinds]", "[0]", to a JSON
// pointer.
std::string to_json_pointer(const std::vector<std::string>& path)
{
    std::string pointer;
    for (const std::string& step : path)
    {
        if (step.size() > 2 && step.front() == '[')
        {
            pointer += "/" + step.substr(1, step.size() - 2);
        }
    }
    return pointer;
}

} // namespace

json_schema::json_schema(std::string_view text)
    : source(nlohmann::json::parse(text))
    , compiled(std::make_unique<valijson::Schema>())
{
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(this->source),
                          *this->compiled);
}

json_schema::~json_schema() = default;

bool json_schema::check(const nlohmann::json& value, config_reason& why) const
{
    // find_schema_fault() describes the common violations for an operator, and
    // bounds the length of strings before valijson matches them with
    // std::regex.
    if (const auto fault = find_schema_fault(this->source, value, ""))
    {
        why = *fault;
        return false;
    }
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter target(value);
    if (validator.validate(*this->compiled, target, &results))
    {
        return true;
    }
    valijson::ValidationResults::Error error;
    results.popError(error);
    why = {config_error::out_of_bounds, to_json_pointer(error.context),
           error.description};
    return false;
}

} // namespace jujubedrum
