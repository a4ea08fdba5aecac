#pragma once

#include "base/Clock.h"
#include "base/MachineLimits.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

// The settings of one node. They are read from a TOML file at the start, before any socket is opened.

namespace hemlockweir {

// An IP address and a port.
struct Endpoint {
    std::string address; // IP address
    uint16_t port = 0;

    std::string toString() const;
    auto operator<=>(const Endpoint&) const = default;
};

// Parses ADDRESS:PORT, where ADDRESS is an IP address (IPv6 in brackets).
absl::StatusOr<Endpoint> parseEndpoint(const std::string& text);

// The contents of a settings file. The comments name the tables of the file.
struct Settings {
    // [node]
    std::string node; // unique name of the node
    std::string domain; // failure domain
    std::string region; // region of the failure domain
    Endpoint callers; // TCP, listens for callers and operators
    Endpoint peers; // UDP and TCP, listens for other nodes
    Endpoint advertisedPeers; // address at which other nodes reach `peers`; default: `peers`
    std::vector<Endpoint> seeds; // nodes contacted first to join the cluster
    std::string clusterKey; // secret that authenticates nodes to each other
    std::string operatorKey; // secret that authenticates operators at /operator/*
    int workers = 2; // threads that serve HTTP requests

    // [tls]
    std::string tlsCertificateFile; // PEM certificate chain for callers and operators; empty: plain HTTP
    std::string tlsKeyFile; // PEM private key
    Millis tlsCheckInterval { 5000 }; // ms, between checks whether the files changed

    // [platform]
    std::vector<std::string> platformUrls; // http://ADDRESS:PORT of the key-value service
    std::string instancesUrl; // http://ADDRESS:PORT/path of the instance list

    // [limits]
    size_t headBytes = 16 * 1024; // bytes, maximum request head
    size_t bodyBytes = 4 * 1024 * 1024; // bytes, maximum request body
    Millis requestTimeout { 10000 }; // ms, first byte to last byte of a request; also limits the TLS handshake
    Millis idleTimeout { 60000 }; // ms, between requests of a connection
    size_t callerMemory = size_t { 1024 } * 1024 * 1024; // bytes held for callers; over it, the largest and slowest unfinished requests are dropped
    int maxConnections = 4096; // over it, the connection that has waited longest without a request at work is closed
    int maxConnectionsPerAddress = 1024;
    int maxPeerConnections = 128; // open connections of other nodes; derived from the machine
    int maxWaiting = 2000; // requests waiting for a slot
    int claimSharingNodes = 8; // with this many live nodes or more, a failure domain shares calls for claims
    int maxRequestsPerCaller = 1000; // waiting and running requests of one caller at this node
    int64_t discardBytes = 256 * 1024; // bytes of a refused request that are still read
    int64_t replyBufferBytes = 1024 * 1024; // bytes that a slow reader may leave unread before it is disconnected

    // [schedule]
    std::string schedulePolicy = "full"; // "full"; the others are only baselines for comparison

    // [timing]
    Millis heartbeatInterval { 200 }; // ms, between heartbeats to other nodes
    Millis statusInterval { 300 }; // ms, between polls of an instance
    Millis statusFreshness { 1500 }; // ms, maximum age of a usable status report
    Millis leaseTtl { 5000 }; // ms, lease on forming groups in a failure domain
    Millis silenceTimeout { 2000 }; // ms without a token before the stream from an engine is aborted
    Millis callerTimeout { 15000 }; // ms without a response from the TCP of a caller's host before its requests are cancelled
    Millis reportShareInterval { 1000 }; // ms, between sending report figures to peers
    Millis reportFlushInterval { 30000 }; // ms, between writing report figures to the platform
    Millis shutdownQuiet { 3000 }; // ms without a new request before a planned stop closes the listener
    Millis shutdownTimeout { 3600000 }; // ms, for requests in flight at a planned stop
};

// Parses and validates the text of a settings file. Bounds on memory and connections that it doesn't name are derived from the
// machine. The error lists every mistake with file and line.
absl::StatusOr<Settings> parseSettings(const std::string& text, const std::string& file, const MachineLimits& machine = {});

} // namespace hemlockweir
