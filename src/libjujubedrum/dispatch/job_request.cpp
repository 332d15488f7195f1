#include "dispatch/job_request.hpp"

namespace jujubedrum
{

const char* outcome_name(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::refused:
        return "refused";
    case job_outcome::handed_back:
        return "handed back";
    case job_outcome::incomplete:
        return "incomplete";
    }
    return "unknown";
}

} // namespace jujubedrum
