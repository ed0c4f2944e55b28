#include "soak/daemon_process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace endivetrestle::soak {

DaemonProcess::DaemonProcess(std::string program, std::string settings, std::string log)
    : program(program.empty() ? "/proc/self/exe" : std::move(program))
    , settings(std::move(settings))
    , log(std::move(log))
{
}

DaemonProcess::~DaemonProcess()
{
    if (!this->poll())
        return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, &this->status, 0);
}

void DaemonProcess::start()
{
    const pid_t child = fork();
    if (child < 0)
        throw std::system_error(errno, std::generic_category(), "fork");
    if (child == 0) {
        // A daemon ends with the soak, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // Descriptors of the soak must not stay open in the daemon.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl(this->program.c_str(), "endivetrestle", "proxy", this->settings.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    this->pid = child;
}

void DaemonProcess::signal(int number)
{
    if (this->poll())
        kill(this->pid, number);
}

bool DaemonProcess::poll()
{
    if (this->pid == 0)
        return false;
    if (waitpid(this->pid, &this->status, WNOHANG) == this->pid)
        this->pid = 0;
    return this->pid != 0;
}

} // namespace endivetrestle::soak
