#pragma once

#include <string>
#include <sys/types.h>

namespace endivetrestle::soak {

// One daemon as a process of its own. It is ended by its id when the object goes away.
class DaemonProcess {
public:
    // `program` is the path of the program, or empty for this program's own; `settings` is the path of the settings
    // file, and `log` the file that gets its output.
    DaemonProcess(std::string program, std::string settings, std::string log);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess&) = delete;
    DaemonProcess& operator=(const DaemonProcess&) = delete;

    // Starts the program as a daemon. Throws std::system_error if that fails.
    void start();
    // Sends a signal to the process, if it runs.
    void signal(int number);
    // Takes note of an ended process. Returns whether it runs.
    bool poll();
    // Exit status as waitpid() gives it, of the last end.
    [[nodiscard]] int lastStatus() const { return this->status; }

private:
    std::string program;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    int status = 0;
};

} // namespace endivetrestle::soak
