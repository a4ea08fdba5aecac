#pragma once

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <glog/logging.h>
#include <string>
#include <unistd.h>

namespace hemlockweir {

// A pipe that takes the lines of a DecisionLog. Lines that don't fit into it are dropped.
class LogCapture {
public:
    LogCapture() { PCHECK(pipe2(ends_.data(), O_NONBLOCK) == 0); }
    ~LogCapture()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    // File descriptor for DecisionLog::Options.
    int descriptor() const { return ends_[1]; }

    // Returns the lines that were written since the last call.
    std::string read() const
    {
        std::string text;
        std::array<char, 4096> bytes {};
        ssize_t size = 0;
        while ((size = ::read(ends_[0], bytes.data(), bytes.size())) > 0)
            text.append(bytes.data(), static_cast<size_t>(size));
        return text;
    }

private:
    std::array<int, 2> ends_ {};
};

} // namespace hemlockweir
