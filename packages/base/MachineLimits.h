#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

// What the machine, or the control group that the process runs in, leaves to the process. Bounds that the settings don't name are
// derived from it.

namespace hemlockweir {

struct MachineLimits {
    std::optional<size_t> memory; // bytes; nullopt: unknown
    std::optional<size_t> openFiles; // descriptors that the process may have open; nullopt: unknown or without limit

    auto operator<=>(const MachineLimits&) const = default;
};

// Returns the least of the machine's memory, the limits of the process's control group and of those around it, and the limit of its address
// space. What can't be read is no limit. The files of the kernel are read below `root`.
MachineLimits readMachineLimits(const std::string& root = {});

// Raises the limit of open descriptors as far as the process may do so itself.
void raiseDescriptorLimit();

// Returns a share of the memory, at most `most` bytes, which is also the result if the memory is unknown.
size_t shareOfMemory(const MachineLimits& limits, size_t share, size_t most);

} // namespace hemlockweir
