#include "request/execute_kind.h"

namespace endivetrestle {

ExecuteKind executeKindOf(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Write:
        return ExecuteKind::Write;
    case RequestKind::Begin:
        return ExecuteKind::Begin;
    case RequestKind::Statement:
        return ExecuteKind::Statement;
    case RequestKind::Commit:
        return ExecuteKind::Commit;
    case RequestKind::Rollback:
        return ExecuteKind::Rollback;
    case RequestKind::Read:
    case RequestKind::Resolve:
        return ExecuteKind::Read;
    }
    return ExecuteKind::Read;
}

} // namespace endivetrestle
