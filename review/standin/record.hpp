#pragma once

#include <chrono>
#include <fstream>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

// The record of a run: one line for each thing that was sent, answered or run, with seconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - this->startedAt).count();
    }
    void write(const std::string& text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.4f ", this->seconds());
        this->file << time << text << "\n";
        this->file.flush();
    }

private:
    std::ofstream file;
    Clock::time_point startedAt = Clock::now();
};

} // namespace review
