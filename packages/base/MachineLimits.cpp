#include "base/MachineLimits.h"

#include "base/Log.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sys/resource.h>

namespace hemlockweir {

static constexpr size_t bytesPerKilobyte = 1024;

static void lower(std::optional<size_t>& limit, size_t other)
{
    limit = std::min(limit.value_or(other), other);
}

// Returns the rest of the first line with the prefix, without spaces around it; empty if there is none.
static std::string findLine(const std::string& path, absl::string_view prefix)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        absl::string_view rest = line;
        if (absl::ConsumePrefix(&rest, prefix))
            return std::string(absl::StripAsciiWhitespace(rest));
    }
    return {};
}

static void readMachineMemory(const std::string& root, MachineLimits& limits)
{
    const std::string text = findLine(root + "/proc/meminfo", "MemTotal:");
    size_t kilobytes = 0;
    if (absl::SimpleAtoi(text.substr(0, text.find(' ')), &kilobytes))
        lower(limits.memory, kilobytes * bytesPerKilobyte);
}

// Reads the limits of the control group (version 2) and of all groups around it.
static void readGroupMemory(const std::string& root, MachineLimits& limits)
{
    std::string group = findLine(root + "/proc/self/cgroup", "0::");
    while (true) {
        size_t bytes = 0;
        if (absl::SimpleAtoi(findLine(absl::StrCat(root, "/sys/fs/cgroup", group, "/memory.max"), ""), &bytes))
            lower(limits.memory, bytes);
        const size_t slash = group.rfind('/');
        if (slash == std::string::npos)
            return;
        group.resize(slash);
    }
}

MachineLimits readMachineLimits(const std::string& root)
{
    MachineLimits limits;
    readMachineMemory(root, limits);
    readGroupMemory(root, limits);
    rlimit limit {};
    if (::getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        lower(limits.memory, limit.rlim_cur);
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        limits.openFiles = limit.rlim_cur;
    return limits;
}

void raiseDescriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == limit.rlim_max)
        return;
    limit.rlim_cur = limit.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0)
        logWarning("descriptor_limit_kept", { { "error", std::strerror(errno) } });
}

size_t shareOfMemory(const MachineLimits& limits, size_t share, size_t most)
{
    return limits.memory ? std::min(most, *limits.memory / share) : most;
}

} // namespace hemlockweir
