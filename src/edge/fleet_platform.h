#pragma once

#include "edge/fleet.h"

namespace endivetrestle {

// Clients of the platform; they belong to the network loop.
struct Fleet::Platform {
    kj::Own<TableService> table;
    kj::Own<ObjectStore> objects;
    kj::Own<LiveList> liveList;
};

} // namespace endivetrestle
