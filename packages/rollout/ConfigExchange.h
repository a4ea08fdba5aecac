#pragma once

#include "base/Clock.h"
#include "wire/Codec.h"
#include "wire/RolloutMessages.h"

#include <QTcpSocket>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>

// Nodes hand each other the configuration over TCP: one request and one answer a connection, both
// sealed under the cluster key. A replayed answer does no harm, since a table only moves up.
// Lives on the control thread.

namespace hemlockweir {

// A configuration as it travels: the document and the revision that orders it.
struct PublishedDocument {
    QByteArray json; // empty: none
    int64_t revision = 0;

    bool operator==(const PublishedDocument&) const = default;
};

// Compresses a document for the wire, and back. InvalidArgument: not compressed by packDocument(),
// or larger than a document may be; the size is checked before memory is taken.
std::string packDocument(const QByteArray& json);
absl::StatusOr<QByteArray> unpackDocument(const std::string& packed);

// Answers peers' requests for the configuration in force, which a PeerServer takes.
class ConfigServer {
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        std::function<PublishedDocument()> read; // what is in force
    };

    explicit ConfigServer(Options options);

    // Returns the sealed answer to a ConfigRequest; none when it is malformed.
    std::optional<QByteArray> answer(const Envelope& envelope);

    // Documents handed out, and bytes sent for them.
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
    std::string packed_; // of packedRevision_
};

// Fetches the configuration from one peer at a time.
class ConfigFetcher : public QObject {
    Q_OBJECT
public:
    struct Options {
        std::string node;
        uint64_t incarnation = 0;
        QByteArray clusterKey;
        Millis timeout { 3000 }; // ms, whole fetch
    };

    explicit ConfigFetcher(Options options);

    // Asks the peer at ADDRESS:PORT. `done` is called once, unless the next start() comes first.
    // Unavailable: no usable answer; NotFound: the peer holds nothing newer.
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
