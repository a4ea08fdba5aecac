#pragma once

#include "http/HttpServer.h"

#include <QFile>
#include <QJsonObject>
#include <boost/program_options.hpp>
#include <string>

// What every stand-in of an outside system shares: a server on one address, faults set at run
// time by POST /faults, and a log of what truly happened at GET /effects.

namespace hemlockweir {

// One thing that happened, in order.
struct Effect {
    qint64 at = 0; // ms since the epoch
    QJsonObject fields; // "what" and its details
};

class StandIn {
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    // Starts a server that answers /faults and /effects itself and passes the rest on. `values`
    // holds the options added by addStandInOptions().
    StandIn(const boost::program_options::variables_map& values, Handler handler);

    // Adds to the log of effects.
    void recordEffect(const QString& what, QJsonObject fields = {});

    // Faults in force, as last posted; numbers and booleans by name.
    const QJsonObject& faults() const { return faults_; }
    int fault(const char* name) const { return faults_[QLatin1String(name)].toInt(); }
    bool hasFault(const char* name) const { return faults_[QLatin1String(name)].toBool(); }

    // Takes one from a fault that counts down; false when it is used up.
    bool consumeFault(const char* name);

    // Called after the faults change.
    std::function<void()> onFaultsChanged;

private:
    void handle(std::shared_ptr<Exchange> exchange);
    void setFaults(Exchange& exchange);
    void sendEffects(Exchange& exchange) const;

    Handler handler_;
    HttpServer server_;
    QJsonObject faults_;
    std::vector<Effect> effects_;
    QFile effectsFile_;
};

// Adds the options that every stand-in takes: --listen and --effects.
void addStandInOptions(boost::program_options::options_description& description);

// Reads the options of a stand-in; exits with a message when they are wrong.
boost::program_options::variables_map readOptions(int argc, char** argv, const boost::program_options::options_description& description);

} // namespace hemlockweir
