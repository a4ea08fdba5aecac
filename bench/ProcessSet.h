#pragma once

#include "base/Clock.h"

#include <QProcess>
#include <QTemporaryDir>
#include <map>
#include <memory>
#include <string>

// The processes of one deployment on loopback addresses of their own. Ends them all when it is
// destroyed.

namespace hemlockweir {

class ProcessSet {
public:
    ProcessSet() = default;
    ~ProcessSet();
    ProcessSet(const ProcessSet&) = delete;
    ProcessSet& operator=(const ProcessSet&) = delete;

    // The same ADDRESS:PORT each time for the same name.
    std::string addressOf(const std::string& name);

    // Where the programs are.
    static QString binFolder();

    // Starts a program under a name; stand-ins write their effects to effectsFileOf(name).
    void start(const std::string& name, const QString& program, const QStringList& arguments);
    // Starts a process again as it was.
    void restart(const std::string& name);
    void kill(const std::string& name);
    // Asks for a planned stop and waits for its end.
    void terminate(const std::string& name);
    bool isRunning(const std::string& name) const;

    // Writes a file into the set's folder; returns its path.
    QString writeFile(const std::string& name, const std::string& text);
    QString effectsFileOf(const std::string& name) const;

    // Processor time so far of one process, over all its starts, in seconds.
    double cpuSeconds(const std::string& name) const;

private:
    struct Entry {
        QString program;
        QStringList arguments;
        std::unique_ptr<QProcess> process;
        double previousCpuSeconds = 0; // s, of the starts before
    };

    void launch(const std::string& name, Entry& entry);

    QTemporaryDir folder_;
    int nextPort_ = 20000;
    std::map<std::string, std::string> addresses_;
    std::map<std::string, Entry> entries_;
};

} // namespace hemlockweir
