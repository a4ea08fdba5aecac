// Stand-in for many engines in one process, used to measure the cost of polling them. It answers GET /status
// on one port per engine; the engines form serving groups of `--members`.
//
//   standin-fleet --listen 127.0.0.2:7000 --count 120 --prefix a-1- --members 4
//
// The engines listen on consecutive ports, starting with that of --listen. Their ids are PREFIX and the index
// of the engine, counted from 0.

#include "fleet/Instance.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QHttpServer>
#include <QJsonDocument>
#include <QTcpServer>
#include <QUrl>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>

namespace options = boost::program_options;
using namespace hemlockweir;

namespace {

struct Parameters {
    std::string listen;
    std::string prefix = "e";
    int count = 64;
    int members = 4;
};

InstanceStatus makeStatus(const Parameters& parameters, int index)
{
    const int first = index - index % parameters.members;
    InstanceStatus status { .id = parameters.prefix + std::to_string(index), .incarnation = "1", .state = EngineState::Ready, .group = parameters.prefix + "g" + std::to_string(first), .epoch = static_cast<uint64_t>(first) + 1, .model = "m", .slots = 8, .stepMs = 20 };
    for (int i = first; i < first + parameters.members; ++i)
        status.members.push_back(parameters.prefix + std::to_string(i));
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    Parameters parameters;
    options::options_description description("Stand-in for many engines");
    description.add_options()("listen", options::value(&parameters.listen)->required(), "ADDRESS:PORT of the first engine")(
        "prefix", options::value(&parameters.prefix)->default_value(parameters.prefix), "prefix of the ids")(
        "count", options::value(&parameters.count)->default_value(parameters.count), "number of engines")(
        "members", options::value(&parameters.members)->default_value(parameters.members), "engines in each group")(
        "effects", options::value<std::string>(), "accepted as by the other stand-ins, but ignored");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);

    QCoreApplication application(argc, argv);
    const QUrl url(QString::fromStdString("http://" + parameters.listen));
    QHttpServer server;
    std::map<QByteArray, QByteArray> bodies; // by Host header
    for (int i = 0; i < parameters.count; ++i) {
        auto* listener = new QTcpServer(&server);
        const auto port = static_cast<quint16>(url.port() + i);
        if (!listener->listen(QHostAddress(url.host()), port)) {
            std::cerr << "cannot listen on port " << port << '\n';
            return 1;
        }
        server.bind(listener);
        bodies[url.host().toLatin1() + ':' + QByteArray::number(port)] = QJsonDocument(formatInstanceStatus(makeStatus(parameters, i))).toJson(QJsonDocument::Compact);
    }
    server.route("/status", [&bodies](const QHttpServerRequest& request) {
        return QHttpServerResponse("application/json", bodies[request.value("Host")]);
    });
    server.route("/effects", [] { return QHttpServerResponse("application/json", R"({"effects":[]})"); });
    return QCoreApplication::exec();
}
