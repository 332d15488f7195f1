#pragma once

#include "jobs/outcome.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jujubedrum
{

/// An error in the request itself, as opposed to the outcome of a job.
struct api_error
{
    /// HTTP status.
    int status = 400;
    /// Machine-readable code, such as "conflict".
    std::string code;
    /// Description of the error and how to correct it.
    std::string text;

    bool operator==(const api_error&) const = default;
};

/// Reply to a request about a job: an outcome or an error.
class api_reply
{
public:
    api_reply(std::string id, outcome result);
    explicit api_reply(api_error error);

    /// Parses a body in the format of `body`. Returns nothing if it is
    /// malformed.
    static std::optional<api_reply> parse(std::string_view body);

    /// Returns the id of the job; empty for an error.
    [[nodiscard]] const std::string& id() const { return this->job_id; }
    /// Returns the outcome, or a null pointer for an error.
    [[nodiscard]] const outcome* result() const;
    /// Returns the error, or a null pointer for an outcome.
    [[nodiscard]] const api_error* error() const;
    /// Returns the HTTP status.
    [[nodiscard]] int status() const;
    /// Returns the JSON body.
    [[nodiscard]] std::string body() const;

    bool operator==(const api_reply&) const = default;

private:
    std::string job_id;
    std::variant<outcome, api_error> value;
};

} // namespace jujubedrum
