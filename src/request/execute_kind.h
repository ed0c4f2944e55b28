#pragma once

#include "request/endpoint_call.h"
#include "request/request.h"

namespace endivetrestle {

// What an endpoint is asked to do for a request. Resolve has a call of its own and maps to Read.
ExecuteKind executeKindOf(RequestKind kind);

} // namespace endivetrestle
