#pragma once

#include "request/endpoint_call.h"
#include "request/request.h"

namespace endivetrestle {

// Endpoint operation that runs a kind of request. Resolve is sent as a ResolveCall instead and maps to Read.
ExecuteKind executeKindOf(RequestKind kind);

} // namespace endivetrestle
