#pragma once

#include <QtGlobal>
#include <string>

// What the kernel tells of a running process and of its TCP connections.

namespace hemlockweir {

// Returns a size from /proc/PID/status, such as "VmRSS" or "VmHWM", in bytes; 0 if the process has gone.
qint64 memoryOfProcess(qint64 pid, const std::string& field);

// Returns the number of open descriptors of a process.
qint64 descriptorsOfProcess(qint64 pid);

// Returns the number of bytes that the kernel has received on the connections to an IPv4 endpoint (ADDRESS:PORT), and that the
// process there has not read.
qint64 unreadBytesAt(const std::string& endpoint);

// Returns whether no byte waits in the kernel on any connection from or to an IPv4 endpoint (ADDRESS:PORT), and no
// connection waits to be accepted there. The process at the endpoint has then read all that was sent to it.
bool hasReadAll(const std::string& endpoint);

} // namespace hemlockweir
