// Tests that callers who send endless, unfinished or oversized requests don't take more memory or descriptors of a process
// than its bounds, and that the process then still answers an ordinary request. The processes are real, the limits low.

#include "support/CallerMemory.h"
#include "support/ProcessMemory.h"

namespace hemlockweir {

// The set of callers is fixed: a change of the product must not change it.
static constexpr size_t trailerCallers = 4;
static constexpr qint64 trailerBytes = 8 * mebibyte; // of each caller
static constexpr size_t chunkCallers = 40;
static constexpr int largeChunkBytes = 1000000; // of which the last byte is missing
static constexpr int tinyChunks = 500000; // of one byte each; the last chunk is missing
static constexpr size_t largeBodies = 4;
static constexpr qint64 largeBodyBytes = 8 * mebibyte; // over the limit of 1 MiB
static constexpr size_t idleCallers = 150;

static QByteArray chunkedHead(const QByteArray& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nTransfer-Encoding: chunked\r\n\r\n";
}

static QByteArray tinyChunkBody()
{
    return QByteArray("1\r\nx\r\n").repeated(tinyChunks);
}

static QByteArray bodyWithLength(const QByteArray& path, qint64 announced, qint64 sent)
{
    return "POST " + path + " HTTP/1.1\r\nHost: soak.test\r\nAuthorization: Bearer caller-key\r\nContent-Length: " + QByteArray::number(announced) + "\r\n\r\n" + QByteArray(sent, 'x');
}

// Guards against a parser that keeps a trailer until its end, however long it is.
TEST_F(GatewayCallerMemory, TrailersWithoutEnd)
{
    sendFromAll(trailerCallers, cluster_.addressOf("g"), chunkedHead("/x") + "2\r\nhi\r\n0\r\nTrailer: " + QByteArray(trailerBytes, 'x'));
    expectBoundsAndService();
}

// The same with many whole lines, and on the addresses of operators and the balancer.
TEST_F(GatewayCallerMemory, TrailersOfManyLinesOnEachAddress)
{
    const QByteArray lines = QByteArray("X-Trailer: 0123456789012345678901234567890123456789012345678901\r\n").repeated(trailerBytes / 64);
    for (const char* address : { "g", "ready", "control" })
        sendFromAll(trailerCallers, cluster_.addressOf(address), chunkedHead("/x") + "2\r\nhi\r\n0\r\n" + lines);
    expectBoundsAndService();
}

// Guards against bodies within the limit that together take more memory than there is.
TEST_F(GatewayCallerMemory, UnfinishedBodiesOfOneLargeChunk)
{
    sendFromAll(chunkCallers, cluster_.addressOf("g"), chunkedHead("/x") + QByteArray::number(largeChunkBytes, 16) + "\r\n" + QByteArray(largeChunkBytes - 1, 'x'));
    expectBoundsAndService();
}

TEST_F(GatewayCallerMemory, UnfinishedBodiesOfOneByteChunks)
{
    sendFromAll(chunkCallers, cluster_.addressOf("g"), chunkedHead("/x") + tinyChunkBody());
    expectBoundsAndService();
}

TEST_F(GatewayCallerMemory, UnfinishedBodiesOnTheControlAndReadyAddresses)
{
    for (const char* address : { "ready", "control" })
        sendFromAll(chunkCallers, cluster_.addressOf(address), bodyWithLength("/x", largeChunkBytes, largeChunkBytes - 1));
    expectBoundsAndService();
}

TEST_F(GatewayCallerMemory, BodiesOverTheLimit)
{
    sendFromAll(largeBodies, cluster_.addressOf("g"), bodyWithLength("/x", largeBodyBytes, largeBodyBytes));
    sendFromAll(largeBodies, cluster_.addressOf("g"), chunkedHead("/x") + QByteArray::number(largeBodyBytes, 16) + "\r\n" + QByteArray(largeBodyBytes, 'x'));
    sendFromAll(largeBodies, cluster_.addressOf("g"), chunkedHead("/x") + (QByteArray("10000\r\n") + QByteArray(65536, 'x') + "\r\n").repeated(largeBodyBytes / 65536));
    expectBoundsAndService();
}

// Guards against connections without requests that take the descriptors that probes, the store and operators need.
TEST_F(GatewayCallerMemory, ManyIdleConnections)
{
    sendFromAll(idleCallers, cluster_.addressOf("g"), "GET /x HTTP/1.1\r\n");
    sendFromAll(idleCallers, cluster_.addressOf("control"), "GET /x HTTP/1.1\r\n");
    EXPECT_LT(descriptorsOfProcess(pid_), descriptorsAtRest_ + 2 * connectionBound + otherDescriptors);
    EXPECT_TRUE(isOrdinaryRequestAnswered());
    EXPECT_EQ(cluster_.call("GET", "http://" + cluster_.addressOf("control") + "/metrics").status, 200);
}

// A request of the largest allowed size is served by a calm process, whatever its budgets.
TEST_F(GatewayCallerMemory, LargestAllowedBodyIsServed)
{
    RawClient caller(cluster_.addressOf("g"));
    caller.send(bodyWithLength("/x", mebibyte, mebibyte));
    EXPECT_EQ(caller.waitForStatus(), 200);
    RawClient chunked(cluster_.addressOf("g"));
    chunked.send(chunkedHead("/x") + (QByteArray("1\r\nx\r\n")).repeated(mebibyte) + "0\r\n\r\n");
    EXPECT_EQ(chunked.waitForStatus(), 200);
    expectBounds();
}

TEST_F(NodeCallerMemory, UnfinishedBodies)
{
    start();
    sendFromAll(chunkCallers, cluster_.addressOf("n1"), bodyWithLength("/v1/completions", largeChunkBytes, largeChunkBytes - 1));
    expectBoundsAndService();
}

} // namespace hemlockweir
