#include "rollout/ConfigExchange.h"

#include "wire/Frame.h"

#include <QUrl>
#include <QtEndian>

namespace hemlockweir {

static constexpr qsizetype maxAnswerBytes = maxPackedDocumentBytes + 1024;

std::string packDocument(const QByteArray& json)
{
    return qCompress(json).toStdString();
}

absl::StatusOr<QByteArray> unpackDocument(const std::string& packed)
{
    // The first four bytes hold the length that qUncompress() allocates.
    if (packed.size() <= sizeof(quint32) || qFromBigEndian<quint32>(packed.data()) > maxDocumentBytes)
        return absl::InvalidArgumentError("document is truncated or exceeds the size limit");
    QByteArray json = qUncompress(reinterpret_cast<const uchar*>(packed.data()), static_cast<qsizetype>(packed.size()));
    if (json.isEmpty() || json.size() > maxDocumentBytes)
        return absl::InvalidArgumentError("document cannot be decompressed");
    return json;
}

ConfigServer::ConfigServer(Options options)
    : options_(std::move(options))
{
}

std::optional<QByteArray> ConfigServer::answer(const Envelope& envelope)
{
    const auto request = decodeBody<ConfigRequest>(envelope.body);
    if (!request.ok())
        return std::nullopt;
    QByteArray answer = makeAnswer(*request);
    bytesSent_ += static_cast<uint64_t>(answer.size());
    return answer;
}

QByteArray ConfigServer::makeAnswer(const ConfigRequest& request)
{
    const PublishedDocument document = options_.read();
    ConfigDocument answer { .revision = document.revision, .packed = {} };
    if (document.revision > request.knownRevision) {
        answer.packed = packedFor(document);
        ++documentsSent_;
    }
    return sealMessage(answer, { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ }, options_.clusterKey);
}

std::string ConfigServer::packedFor(const PublishedDocument& document)
{
    if (packedRevision_ != document.revision) {
        packed_ = packDocument(document.json);
        packedRevision_ = document.revision;
    }
    return packed_;
}

ConfigFetcher::ConfigFetcher(Options options)
    : options_(std::move(options))
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, [this] { finish(absl::UnavailableError("timed out waiting for the answer")); });
}

void ConfigFetcher::start(const std::string& endpoint, int64_t knownRevision, std::function<void(const absl::StatusOr<PublishedDocument>&)> done)
{
    done_ = std::move(done);
    received_.clear();
    socket_ = std::make_unique<QTcpSocket>();
    connect(socket_.get(), &QTcpSocket::readyRead, this, &ConfigFetcher::readAnswer);
    connect(socket_.get(), &QTcpSocket::errorOccurred, this, [this] {
        readAnswer();
        finish(absl::UnavailableError(socket_ ? socket_->errorString().toStdString() : "closed"));
    });
    const Sender sender { .node = options_.node, .incarnation = options_.incarnation, .sequence = ++sequence_ };
    const QByteArray request = makeFrame(sealMessage(ConfigRequest { .knownRevision = knownRevision }, sender, options_.clusterKey));
    connect(socket_.get(), &QTcpSocket::connected, this, [this, request] { socket_->write(request); });
    const QUrl url(QString::fromStdString("tcp://" + endpoint));
    socket_->connectToHost(url.host(), static_cast<quint16>(url.port(0)));
    timer_.start(options_.timeout);
}

void ConfigFetcher::readAnswer()
{
    if (!socket_)
        return;
    const QByteArray bytes = socket_->readAll();
    bytesReceived_ += static_cast<uint64_t>(bytes.size());
    received_ += bytes;
    const auto frame = extractFrame(received_, maxAnswerBytes);
    if (!frame.ok())
        finish(frame.status());
    else if (*frame)
        finish(openAnswer(**frame));
}

absl::StatusOr<PublishedDocument> ConfigFetcher::openAnswer(const QByteArray& bytes) const
{
    const auto envelope = openEnvelope(bytes, options_.clusterKey);
    if (!envelope.ok())
        return envelope.status();
    if (envelope->kind != MessageKind::ConfigDocument)
        return absl::InvalidArgumentError("unexpected kind of message in the answer");
    const auto answer = decodeBody<ConfigDocument>(envelope->body);
    if (!answer.ok())
        return answer.status();
    if (answer->packed.empty())
        return absl::NotFoundError("the peer has no newer configuration");
    absl::StatusOr<QByteArray> json = unpackDocument(answer->packed);
    if (!json.ok())
        return json.status();
    return PublishedDocument { .json = std::move(*json), .revision = answer->revision };
}

void ConfigFetcher::finish(const absl::StatusOr<PublishedDocument>& result)
{
    if (!socket_)
        return;
    timer_.stop();
    socket_->disconnect(this);
    // This may run inside a signal of the socket, so it must not be deleted here.
    socket_.release()->deleteLater();
    const auto done = std::exchange(done_, nullptr);
    done(result);
}

} // namespace hemlockweir
