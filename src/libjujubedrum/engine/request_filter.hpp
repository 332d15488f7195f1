#pragma once

#include "base/time.hpp"
#include "config/document.hpp"
#include "engine/api_reply.hpp"
#include "jobs/submission.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubedrum
{

/// State of a submission while the filters check it.
struct request_context
{
    /// Configuration in force when the request arrived.
    class document config;
    /// Token from the `Authorization` header; empty if there is none.
    std::string token;
    /// Request body.
    std::string body;
    /// Set by `parse_filter`.
    std::optional<submission> job;
    /// Time left for the job; set by `deadline_filter`.
    microseconds remaining{0};
};

/// One step of the checks that a submission passes before it is routed.
/// Filters hold no state, so that one chain serves every HTTP thread.
class request_filter
{
public:
    virtual ~request_filter() = default;

    /// Checks the request and adds the results to the context. Returns the
    /// refusal, or nothing if the request passes.
    virtual std::optional<api_reply> apply(request_context& context) const = 0;
};

/// The filters of a submission, in order.
class filter_chain
{
public:
    /// Returns the chain for submissions: parse, authenticate, limits,
    /// deadline.
    static filter_chain for_submissions();

    /// Runs the filters up to the first refusal and returns it, or nothing if
    /// all pass.
    std::optional<api_reply> apply(request_context& context) const;

private:
    std::vector<std::unique_ptr<request_filter>> filters;
};

/// Returns the defaults for kinds of tasks that the teams' sections declare.
/// \param config must outlive the returned function.
[[nodiscard]] default_options_lookup kind_defaults_of(const document& config);

/// Returns whether a token's SHA-256 digest is one of the known ones. Compares
/// in constant time, so that the duration reveals nothing about a digest.
[[nodiscard]] bool contains_digest(const std::vector<std::string>& known,
                                   const std::string& digest);

/// Returns the refusal if the token does not belong to the team.
[[nodiscard]] std::optional<api_reply> authenticate(const document& config,
                                                    const std::string& team,
                                                    const std::string& token);

/// Returns the team that the token belongs to, or nothing.
[[nodiscard]] std::optional<std::string> team_of(const document& config,
                                                 const std::string& token);

} // namespace jujubedrum
