#pragma once

#include <csignal>
#include <cstdlib>

namespace endivetrestle {

// Blocks SIGTERM and SIGINT for this thread and all threads started later, so that waitForStop() receives them.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Waits for one of the signals. From then on a second one ends the process at once.
inline void waitForStop(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
    std::signal(SIGTERM, [](int) { std::_Exit(EXIT_FAILURE); });
    std::signal(SIGINT, [](int) { std::_Exit(EXIT_FAILURE); });
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace endivetrestle
