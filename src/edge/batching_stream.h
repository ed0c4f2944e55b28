#pragma once

#include <kj/async-io.h>

#include <string>

namespace endivetrestle::internal {

// Stream that sends the writes of one turn of the event loop with one system call. kj-http writes the head and the body
// of a message apart, which costs two calls and two packets for a message of a few hundred bytes. Writes report success
// before they reach the socket; an error shows at a later write or read.
kj::Own<kj::AsyncIoStream> batchWrites(kj::Own<kj::AsyncIoStream> stream);

} // namespace endivetrestle::internal
