// Stand-in for a plain service, such as orders or stock. Every POST adds one order.
//
// Faults:
//   pause        bool: does not answer
//   crash_after  number: if positive, the process exits after it records an order, before it answers
//   delay_ms     delays answers
//   leaving      bool: reports that it is leaving

#include "StandIn.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QTimer>

using namespace hemlockweir;
namespace options = boost::program_options;

namespace {

class Service {
public:
    Service(const boost::program_options::variables_map& values, std::string id)
        : id_(std::move(id))
        , incarnation_(QString::number(QDateTime::currentMSecsSinceEpoch()))
        , standIn_(values, [this](std::shared_ptr<Exchange> exchange) { handle(exchange); })
    {
    }

private:
    void handle(const std::shared_ptr<Exchange>& exchange)
    {
        if (standIn_.hasFault("pause")) {
            paused_.push_back(exchange);
            return;
        }
        if (exchange->path() == "/status") {
            exchange->sendJson(200, { { "id", QString::fromStdString(id_) }, { "incarnation", incarnation_ }, { "state", "idle" }, { "running", inFlight_ }, { "leaving", standIn_.hasFault("leaving") } });
            return;
        }
        if (exchange->method() == "POST") {
            ++orders_;
            standIn_.recordEffect("order", { { "request", QString(exchange->header("X-Request-Id")) }, { "key", QString(exchange->header("Idempotency-Key")) }, { "caller", QString(exchange->header("X-Caller")) }, { "body", QString::fromUtf8(exchange->body()) } });
            if (standIn_.fault("crash_after") > 0)
                std::_Exit(67);
        }
        ++inFlight_;
        QTimer::singleShot(standIn_.fault("delay_ms"), [this, exchange] {
            --inFlight_;
            exchange->sendJson(200, { { "order", orders_ }, { "instance", QString::fromStdString(id_) } });
        });
    }

    std::string id_;
    QString incarnation_;
    int orders_ = 0;
    int inFlight_ = 0;
    std::vector<std::shared_ptr<Exchange>> paused_;
    StandIn standIn_;
};

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    options::options_description description("Stand-in for a plain service");
    addStandInOptions(description);
    description.add_options()("id", options::value<std::string>()->required(), "instance id");
    const auto values = readOptions(argc, argv, description);
    Service service(values, values["id"].as<std::string>());
    return QCoreApplication::exec();
}
