#pragma once

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <string>

namespace endivetrestle::internal {

// Names of the headers that client and server of json_http.h exchange.
struct HeaderNames {
    kj::Own<kj::HttpHeaderTable> table;
    kj::HttpHeaderId daemon;
    kj::HttpHeaderId dataCentre;
};

const HeaderNames& headerNames();

// Text of a body, or no value if it exceeds the limit.
using BodyText = kj::Maybe<std::string>;

// Reads a body to its end. Fails with a DISCONNECTED exception if the connection ends first.
kj::Promise<BodyText> readBody(kj::AsyncInputStream& body, std::size_t limit);

std::string describe(const kj::Exception& exception);

} // namespace endivetrestle::internal
