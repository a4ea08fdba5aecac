#pragma once

#include "http/HttpServer.h"

#include <QFile>
#include <QJsonObject>
#include <boost/program_options.hpp>
#include <string>

// Common base of the stand-ins, the test doubles of external systems. A stand-in serves one address.
// POST /faults sets its faults at run time, and GET /effects returns the log of effects: what the stand-in
// actually did, independent of what its callers received.

namespace hemlockweir {

// One entry of the log of effects.
struct Effect {
    qint64 at = 0; // ms since the epoch
    QJsonObject fields; // "what" and details
};

class StandIn {
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    // Starts a server that answers /faults and /effects itself and passes all other requests to `handler`.
    // `values` holds the options added by addStandInOptions(). Exits the process on errors.
    StandIn(const boost::program_options::variables_map& values, Handler handler);

    // Appends an entry to the log of effects.
    void recordEffect(const QString& what, QJsonObject fields = {});

    // Current faults by name: numbers, booleans or texts.
    const QJsonObject& faults() const { return faults_; }
    int fault(const char* name) const { return faults_[QLatin1String(name)].toInt(); }
    bool hasFault(const char* name) const { return faults_[QLatin1String(name)].toBool(); }

    // Decrements a fault that counts down. Returns false if it was not positive.
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

// Adds the options that all stand-ins have: --listen and --effects.
void addStandInOptions(boost::program_options::options_description& description);

// Parses the options of a stand-in. Exits the process with a message if they are invalid.
boost::program_options::variables_map readOptions(int argc, char** argv, const boost::program_options::options_description& description);

} // namespace hemlockweir
