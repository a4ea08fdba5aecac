#pragma once

#include "base/Clock.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

// The settings of one node, read from its TOML file before any socket opens.

namespace hemlockweir {

// An IP number and a port.
struct Endpoint {
    std::string address; // IP number
    uint16_t port = 0;

    std::string toString() const;
    auto operator<=>(const Endpoint&) const = default;
};

// Reads ADDRESS:PORT, where ADDRESS is an IP number (IPv6 in brackets).
absl::StatusOr<Endpoint> parseEndpoint(const std::string& text);

// Everything a node learns from its settings file.
struct Settings {
    // [node]
    std::string node; // unique name
    std::string domain; // failure domain
    std::string region; // region of the failure domain
    Endpoint callers; // TCP, requests of callers and operators
    Endpoint peers; // UDP and TCP, the other nodes
    Endpoint advertisedPeers; // where the other nodes reach `peers`; default: the same
    std::vector<Endpoint> seeds; // other nodes to greet first
    std::string clusterKey; // secret that authenticates nodes to each other
    std::string operatorKey; // secret that operators send to /operator/*
    int workers = 2; // threads that serve callers

    // [tls]
    std::string tlsCertificateFile; // PEM chain shown to callers and operators; empty: plain HTTP
    std::string tlsKeyFile; // PEM private key
    Millis tlsCheckInterval { 5000 }; // ms, between two looks whether the files changed

    // [platform]
    std::vector<std::string> platformUrls; // http://ADDRESS:PORT of the key-value service
    std::string instancesUrl; // http://ADDRESS:PORT/path of the instance list

    // [limits]
    size_t headBytes = 16 * 1024; // bytes
    size_t bodyBytes = 4 * 1024 * 1024; // bytes
    Millis requestTimeout { 10000 }; // ms
    Millis idleTimeout { 60000 }; // ms
    int maxConnections = 4096;
    int maxConnectionsPerAddress = 1024;
    int maxWaiting = 2000; // requests waiting for a slot
    int claimSharingNodes = 8; // living nodes of a failure domain from which on they share calls for claims
    int maxRequestsPerCaller = 1000; // requests of one caller at this node, waiting and running
    int64_t replyBufferBytes = 1024 * 1024; // bytes that a slow reader may leave unread

    // [schedule]
    std::string schedulePolicy = "full"; // "full"; the others only to compare with

    // [timing]
    Millis heartbeatInterval { 200 }; // ms, between nodes
    Millis statusInterval { 300 }; // ms, between two looks at an instance
    Millis statusFreshness { 1500 }; // ms, oldest report that still counts
    Millis leaseTtl { 5000 }; // ms, right to form groups in a failure domain
    Millis silenceTimeout { 2000 }; // ms without a token before a stream is given up
    Millis callerTimeout { 15000 }; // ms without an answer from a caller's machine before its requests are cancelled
    Millis reportShareInterval { 1000 }; // ms, between two tellings of figures to peers
    Millis reportFlushInterval { 30000 }; // ms, between two writes of figures to the platform
    Millis shutdownQuiet { 3000 }; // ms without a new request before a planned stop closes the door
    Millis shutdownTimeout { 3600000 }; // ms for requests in flight at a planned stop
};

// Reads and checks a settings file; the error lists every mistake with file and line.
absl::StatusOr<Settings> parseSettings(const std::string& text, const std::string& file);

} // namespace hemlockweir
