// hemlockweir, the entry node. Reads its settings, runs until SIGTERM or SIGINT, then drains and stops.

#include "base/Log.h"
#include "base/MachineLimits.h"
#include "config/TomlReader.h"
#include "gateway/EventLoop.h"
#include "node/Node.h"
#include "platform/Adapter.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

namespace options = boost::program_options;
using namespace hemlockweir;

static constexpr int exitUsage = 2;
static constexpr int exitFailed = 1;

// A signal handler may call only async-signal-safe functions such as write(). It writes to one end of
// this socket pair, and the event loop reads the other end.
static int signalSockets[2];

static void forwardSignal(int)
{
    const char byte = 1;
    [[maybe_unused]] const ssize_t written = write(signalSockets[0], &byte, sizeof(byte));
}

// Checks that the certificate and key files can be loaded, so that an error in them is reported as an
// error in the settings, before a socket is opened.
static absl::Status checkTlsFiles(const Settings& settings)
{
    if (settings.tlsCertificateFile.empty())
        return absl::OkStatus();
    return TlsFiles({ .certificateFile = settings.tlsCertificateFile, .keyFile = settings.tlsKeyFile }).load();
}

static int run(int argc, char** argv, const Settings& settings)
{
    QCoreApplication application(argc, argv);
    Node node(settings);
    if (const absl::Status status = node.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return exitFailed;
    }
    PCHECK(socketpair(AF_UNIX, SOCK_STREAM, 0, signalSockets) == 0);
    std::signal(SIGTERM, forwardSignal);
    std::signal(SIGINT, forwardSignal);
    std::signal(SIGPIPE, SIG_IGN);
    QSocketNotifier notifier(signalSockets[1], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
        notifier.setEnabled(false);
        node.stop([] { QCoreApplication::quit(); });
    });
    return QCoreApplication::exec();
}

// Makes the allocator return the buffers of large bodies to the system when they are freed. By default it raises the size from
// which it does so with the largest buffer freed, up to 32 MB, and keeps what lies below in a fragmented heap.
static void returnFreedBuffers()
{
    constexpr int mappedBytes = 128 * 1024;
    if (mallopt(M_MMAP_THRESHOLD, mappedBytes) != 1 || mallopt(M_TRIM_THRESHOLD, mappedBytes) != 1)
        std::cerr << "the allocator takes no thresholds\n";
}

// Blocks the signals that the gateway handles, until the process ends. Without their handlers they would end it as a crash does.
static void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Reads the settings file again. If it contains an error, the current settings stay in use.
static void reloadGateway(Gateway& gateway, const std::string& path)
{
    const absl::StatusOr<std::string> text = readTextFile(path);
    gateway.reload(text.ok() ? parseGatewaySettings(*text, path, readMachineLimits()) : text.status());
}

// Runs the gateway, a node that serves requests in front of the engines of a platform. With
// `checkOnly`, only checks the settings.
static int runGateway(const std::string& text, const std::string& path, bool checkOnly)
{
    const absl::StatusOr<GatewaySettings> settings = parseGatewaySettings(text, path, readMachineLimits());
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exitUsage;
    }
    if (checkOnly)
        return 0;
    boost::asio::io_context context(1);
    // Signals that come before the gateway waits for them are kept until then.
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    Gateway gateway(context, *settings, adapter::makeAdapter);
    if (const absl::Status status = gateway.start(); !status.ok()) {
        std::cerr << status.message() << '\n';
        return exitFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    stopSignals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            gateway.stop([&context] { context.stop(); });
    });
    std::function<void()> waitForReload = [&] {
        reloadSignals.async_wait([&](const boost::system::error_code& error, int) {
            if (error)
                return;
            reloadGateway(gateway, path);
            waitForReload();
        });
    };
    waitForReload();
    runEventLoop(context, [&gateway](const std::string& error) { gateway.noteUnexpectedError(error); });
    blockSignals();
    return 0;
}

int main(int argc, char** argv)
{
    returnFreedBuffers();
    raiseDescriptorLimit();
    options::options_description description("hemlockweir: the entry node. Usage: hemlockweir --settings FILE");
    description.add_options()("help,h", "show this text")("settings,s", options::value<std::string>(), "the node's TOML settings file")(
        "check", "check the settings and exit");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n\n"
                  << description;
        return exitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << "--settings FILE is required\n\n"
                  << description;
        return exitUsage;
    }
    const std::string path = values["settings"].as<std::string>();
    const absl::StatusOr<std::string> text = readTextFile(path);
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return exitUsage;
    }
    if (hasGatewaySettings(*text, path))
        return runGateway(*text, path, values.count("check") > 0);
    const absl::StatusOr<Settings> settings = parseSettings(*text, path, readMachineLimits());
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exitUsage;
    }
    if (const absl::Status status = checkTlsFiles(*settings); !status.ok()) {
        std::cerr << status.message() << '\n';
        return exitUsage;
    }
    if (values.count("check") > 0)
        return 0;
    startLogging(argv[0]);
    return run(argc, argv, *settings);
}
