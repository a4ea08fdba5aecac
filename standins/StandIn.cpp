#include "StandIn.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <iostream>

namespace hemlockweir {

static HttpServerOptions makeOptions(const std::string& listen)
{
    const QUrl url(QString::fromStdString("http://" + listen));
    HttpServerOptions options { .address = QHostAddress(url.host()), .port = static_cast<quint16>(url.port()) };
    options.limits.bodyBytes = 64 * 1024 * 1024;
    options.maxConnectionsPerAddress = options.maxConnections;
    return options;
}

StandIn::StandIn(const boost::program_options::variables_map& values, Handler handler)
    : handler_(std::move(handler))
    , server_(makeOptions(values["listen"].as<std::string>()), [this](std::shared_ptr<Exchange> exchange) { handle(std::move(exchange)); })
{
    if (const absl::Status status = server_.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        std::exit(1);
    }
    if (values.count("effects") == 0)
        return;
    effectsFile_.setFileName(QString::fromStdString(values["effects"].as<std::string>()));
    if (!effectsFile_.open(QIODevice::WriteOnly | QIODevice::Append | QIODevice::Unbuffered)) {
        std::cerr << "cannot write " << values["effects"].as<std::string>() << '\n';
        std::exit(1);
    }
    recordEffect("started");
}

void StandIn::recordEffect(const QString& what, QJsonObject fields)
{
    const qint64 at = QDateTime::currentMSecsSinceEpoch();
    fields["what"] = what;
    effects_.push_back({ .at = at, .fields = fields });
    if (!effectsFile_.isOpen())
        return;
    fields["at"] = static_cast<double>(at);
    effectsFile_.write(QJsonDocument(fields).toJson(QJsonDocument::Compact) + "\n");
}

bool StandIn::consumeFault(const char* name)
{
    const int remaining = fault(name);
    if (remaining <= 0)
        return false;
    faults_[QLatin1String(name)] = remaining - 1;
    return true;
}

void StandIn::handle(std::shared_ptr<Exchange> exchange)
{
    if (exchange->path() == "/faults")
        setFaults(*exchange);
    else if (exchange->path() == "/effects")
        sendEffects(*exchange);
    else
        handler_(std::move(exchange));
}

void StandIn::setFaults(Exchange& exchange)
{
    const QJsonObject changes = QJsonDocument::fromJson(exchange.body()).object();
    for (auto it = changes.begin(); it != changes.end(); ++it)
        faults_[it.key()] = it.value();
    recordEffect("faults", faults_);
    if (onFaultsChanged)
        onFaultsChanged();
    exchange.sendJson(200, faults_);
}

void StandIn::sendEffects(Exchange& exchange) const
{
    QJsonArray list;
    for (const Effect& effect : effects_) {
        QJsonObject fields = effect.fields;
        fields["at"] = static_cast<double>(effect.at);
        list.append(fields);
    }
    exchange.sendJson(200, { { "effects", list } });
}

void addStandInOptions(boost::program_options::options_description& description)
{
    description.add_options()("listen", boost::program_options::value<std::string>()->required(), "ADDRESS:PORT")(
        "effects", boost::program_options::value<std::string>(), "file that the log of effects is appended to, so that it outlives the process");
}

boost::program_options::variables_map readOptions(int argc, char** argv, const boost::program_options::options_description& description)
{
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(boost::program_options::parse_command_line(argc, argv, description), values);
        boost::program_options::notify(values);
    } catch (const boost::program_options::error& error) {
        std::cerr << error.what() << "\n\n"
                  << description;
        std::exit(2);
    }
    return values;
}

} // namespace hemlockweir
