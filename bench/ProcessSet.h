#pragma once

#include "base/Clock.h"

#include <QProcess>
#include <QTemporaryDir>
#include <map>
#include <memory>
#include <string>

// Runs the processes of one deployment on a loopback address of its own, each with its own ports. Kills
// them all on destruction.

namespace hemlockweir {

class ProcessSet {
public:
    ProcessSet() = default;
    ~ProcessSet();
    ProcessSet(const ProcessSet&) = delete;
    ProcessSet& operator=(const ProcessSet&) = delete;

    // Returns ADDRESS:PORT for a name; always the same for the same name.
    std::string addressOf(const std::string& name);

    // Returns the folder that has the programs.
    static QString binFolder();

    // Starts a program as the process `name`. Stand-ins log their effects to effectsFileOf(name).
    void start(const std::string& name, const QString& program, const QStringList& arguments);
    // Starts a process again with the same program and arguments.
    void restart(const std::string& name);
    void kill(const std::string& name);
    // Requests a graceful shutdown and waits for it; kills the process after 5 s.
    void terminate(const std::string& name);
    bool isRunning(const std::string& name) const;

    // Writes a file to the temporary folder of the set and returns its path.
    QString writeFile(const std::string& name, const std::string& text);
    QString effectsFileOf(const std::string& name) const;

    // Returns the CPU time in seconds that a process has used, over all its starts.
    double cpuSeconds(const std::string& name) const;

private:
    struct Entry {
        QString program;
        QStringList arguments;
        std::unique_ptr<QProcess> process;
        double previousCpuSeconds = 0; // s, of earlier starts
    };

    void launch(const std::string& name, Entry& entry);

    QTemporaryDir folder_;
    int nextPort_ = 20000;
    std::map<std::string, std::string> addresses_;
    std::map<std::string, Entry> entries_;
};

} // namespace hemlockweir
