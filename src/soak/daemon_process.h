#pragma once

#include <string>
#include <sys/types.h>

namespace endivetrestle::soak {

// One daemon as a process of its own. It is ended by its id when the object goes away.
class DaemonProcess {
public:
    // `settings` is the path of the settings file, `log` the file that gets its output.
    DaemonProcess(std::string settings, std::string log);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    // Starts this program's own binary as a daemon. Throws std::system_error if that fails.
    void start();
    // Sends a signal to the process, if it runs.
    void signal(int number);
    // Takes note of an ended process. Returns whether it runs.
    bool poll();
    // Exit status as waitpid() gives it, of the last end.
    [[nodiscard]] int lastStatus() const { return this->status; }

private:
    std::string settings;
    std::string log;
    pid_t pid = 0;
    int status = 0;
};

} // namespace endivetrestle::soak
