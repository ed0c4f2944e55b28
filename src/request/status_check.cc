#include "request/status_check.h"

namespace endivetrestle {

bool isPlausible(const EndpointStatus& status)
{
    const bool termInRange = status.term <= highestPlausibleTerm;
    const bool logInTerm = status.lastLog.term <= status.term;
    const bool appliedInLog = status.applied <= status.lastLog;
    return termInRange && logInTerm && appliedInLog && status.primaryContactAge >= Duration::zero();
}

} // namespace endivetrestle
