#pragma once

#include "support/Cluster.h"
#include "support/RawClient.h"
#include "support/TestAuthority.h"

#include <QTemporaryDir>
#include <gtest/gtest.h>
#include <vector>

// Fixtures of tests of callers who send endless, unfinished or oversized requests: a real process with low limits, and
// callers that stay connected to its addresses until the end of the test.

namespace hemlockweir {

inline constexpr qint64 mebibyte = 1024 * 1024;

// The bounds are fixed: a change of the product must not change them.
// Memory above that of the process at rest. The budgets of both kinds of bytes are 8 MiB each in these tests.
inline constexpr qint64 memoryBound = 16 * mebibyte;
// Descriptors above those of the process at rest and of its callers: connections to endpoints, the store and the test.
inline constexpr qint64 otherDescriptors = 16;
// Connections of callers that a process with 256 descriptors may hold.
inline constexpr qint64 connectionBound = 96;
// The address sanitizer keeps shadow memory and surrounds of blocks, which a plain build doesn't have.
#ifdef __SANITIZE_ADDRESS__
inline constexpr qint64 sanitizerAllowance = 32 * mebibyte;
#else
inline constexpr qint64 sanitizerAllowance = 0;
#endif

class CallerMemory : public testing::Test {
protected:
    // Records the process at rest. Call it after a first ordinary request.
    void noteRest(const std::string& name);

    // Sends the same bytes on a number of new connections at once, and waits until the process has read them or ended the
    // connections. Callers that don't read their answers may stop the process from reading; then it waits for the answers.
    void sendFromAll(size_t callers, const std::string& endpoint, const QByteArray& bytes, bool readsAnswers = true);

    // The same with other bytes on each connection.
    void sendFromEach(const std::string& endpoint, const std::vector<QByteArray>& bytes, bool readsAnswers = true);

    // Sends a number of bytes on new connections, each of which the process reads alone.
    void sendByteByByte(size_t callers, const std::string& endpoint, const QByteArray& bytes);

    // Sends a head that is refused with 413, and then so many bytes whatever the answer. Returns how many the connection took until it
    // ended.
    static qint64 sendRefusedBody(const std::string& endpoint, const QByteArray& head, qint64 bytes);

    // Returns whether each caller has written all its bytes or its connection has ended.
    bool haveSentAll();

    void expectBounds();

    Cluster cluster_;
    std::vector<std::unique_ptr<RawClient>> callers_;
    std::string name_;
    qint64 pid_ = 0;
    qint64 memoryAtRest_ = 0;
    qint64 descriptorsAtRest_ = 0;
    bool isTls_ = false; // callers use TLS

private:
    void samplePeak(const std::string& endpoint);

    qint64 sampledPeak_ = 0; // highest seen sum of resident memory and of received bytes that the kernel holds
};

// A gateway in front of one plain endpoint.
class GatewayCallerMemory : public CallerMemory {
protected:
    GatewayCallerMemory();

    std::string settings();

    // Sets how long in ms the gateway waits for a head, and for the next bytes of a caller.
    void setTimeouts(int headerMs, int idleMs);

    // Makes the gateway wait longer for its callers than any test does, so that no timeout ends what they do.
    void disableTimeouts();

    // Sends one ordinary request on a new connection.
    bool isOrdinaryRequestAnswered() { return isAnswered("soak.test"); }

    void expectBoundsAndService();

private:
    bool isAnswered(const QByteArray& host);
};

// The node of the project's own interface, which takes no chunked bodies.
class NodeCallerMemory : public CallerMemory {
protected:
    NodeCallerMemory() = default;

    // Starts the node with more settings, and a service that it forwards ordinary requests to.
    void start(const std::string& limits = {}, const std::string& settings = {}, const QString& tlsAuthority = {});

    bool isOrdinaryRequestAnswered();
    void expectBoundsAndService();
};

// A node whose descriptors are limited by the kernel and not by its settings.
class NodeWithFewDescriptors : public NodeCallerMemory {
protected:
    // Starts the node with plain HTTP or with TLS.
    void startServer(bool isTls, const std::string& limits);

    static constexpr rlim_t maxDescriptors = 256;

    QTemporaryDir folder_;
    TestAuthority authority_ { folder_.path() };
};

// An address of the gateway, by its name in the cluster.
struct GatewayAddress {
    const char* name;
    const char* path; // of an ordinary request there
};

std::ostream& operator<<(std::ostream& out, const GatewayAddress& address);

// Returns all TCP addresses of the gateway.
std::vector<GatewayAddress> gatewayAddresses();

} // namespace hemlockweir
