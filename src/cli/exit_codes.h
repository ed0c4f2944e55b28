#pragma once

namespace endivetrestle {

// Exit codes of the binary, also listed in docs/OPERATIONS.md.
enum ExitCode : int {
    ExitSuccess = 0,
    // A check failed: wrong settings, a violated invariant, or a missed target.
    ExitCheckFailed = 1,
    // The command line was wrong.
    ExitUsage = 2,
    // A daemon or the platform could not be reached.
    ExitUnreachable = 3,
    // The request was refused, for example a plan on an old configuration version.
    ExitRefused = 4,
};

} // namespace endivetrestle
