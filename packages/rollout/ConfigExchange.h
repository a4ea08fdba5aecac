#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"
#include "wire/RolloutMessages.h"

#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>

// Transfers the configuration between nodes over TCP, with one request and one answer per
// connection. Both are sealed with the cluster key. A replayed answer is harmless, since
// ConfigTable never goes back to an older revision. Lives on the control thread.

namespace hemlockweir {

// A published configuration: the document and the revision that orders it.
struct PublishedDocument {
    QByteArray json; // empty: none
    int64_t revision = 0;

    bool operator==(const PublishedDocument&) const = default;
};

// Compresses and decompresses a document for the wire. unpackDocument() returns InvalidArgument if
// the data was not made by packDocument() or the document would exceed maxDocumentBytes. The size
// is checked before memory is allocated.
std::string packDocument(const QByteArray& json);
absl::StatusOr<QByteArray> unpackDocument(const std::string& packed);

// Answers requests from peers for the current configuration. PeerServer receives the requests.
class ConfigServer {
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        std::function<PublishedDocument()> read; // returns the current configuration
    };

    explicit ConfigServer(Options options);

    // Returns the sealed answer to a ConfigRequest; nothing if the request is malformed.
    std::optional<QByteArray> answer(const Envelope& envelope);

    // Return the number of documents sent and the bytes of all answers.
    uint64_t documentsSent() const { return documentsSent_; }
    uint64_t bytesSent() const { return bytesSent_; }

private:
    QByteArray makeAnswer(const ConfigRequest& request);
    std::string packedFor(const PublishedDocument& document);

    Options options_;
    uint64_t documentsSent_ = 0;
    uint64_t bytesSent_ = 0;
    uint64_t sequence_ = 0;
    int64_t packedRevision_ = 0;
    std::string packed_; // cached document of packedRevision_
};

// Fetches the configuration from one peer at a time.
class ConfigFetcher : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        Millis timeout { 3000 }; // ms for the whole fetch
    };

    explicit ConfigFetcher(Options options);

    // Requests the configuration from the peer at ADDRESS:PORT. `done` is called once, unless
    // start() is called again before. Errors: Unavailable if the connection fails or times out,
    // NotFound if the peer has nothing newer, others if the answer or its seal is invalid.
    void start(const std::string& endpoint, int64_t knownRevision, std::function<void(const absl::StatusOr<PublishedDocument>&)> done);

    bool isRunning() const { return socket_ != nullptr; }
    uint64_t bytesReceived() const { return bytesReceived_; }

private:
    void readAnswer();
    absl::StatusOr<PublishedDocument> openAnswer(const QByteArray& envelope) const;
    void finish(const absl::StatusOr<PublishedDocument>& result);

    Options options_;
    std::unique_ptr<QTcpSocket> socket_;
    QTimer timer_;
    QByteArray received_;
    uint64_t sequence_ = 0;
    uint64_t bytesReceived_ = 0;
    std::function<void(const absl::StatusOr<PublishedDocument>&)> done_;
};

} // namespace hemlockweir
