#pragma once

// Receive buffers of the kernel for connections from callers, in bytes. The kernel takes twice as much. Without a limit a buffer grows to
// megabytes, which count as memory of the process while they are not read.

namespace hemlockweir {

inline constexpr int receiveBufferBytes = 64 * 1024;

// For a connection whose input is no longer read.
inline constexpr int stoppedBufferBytes = 4 * 1024;

} // namespace hemlockweir
