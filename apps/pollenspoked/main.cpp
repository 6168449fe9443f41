// pollenspoked, the proxy daemon: one process per Vm.
#include "vm.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <pollenspoke/platform.h>

namespace {

using namespace Pollenspoke;

constexpr const char *usage = R"(pollenspoked: the proxy daemon of one Vm.

Usage:
  pollenspoked [--settings FILE] [--check]
  pollenspoked --help
  pollenspoked --version

Options:
  --settings FILE  Settings file (YAML). Default: the file named by POLLENSPOKE_CONFIG.
  --check          Validate the settings and the embedded resources, then exit.
  --help           Show this help.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Graceful shutdown: waits for requests in flight, up to drain_timeout_ms.
  SIGHUP           Validate the settings file again. Changes take effect at the next start.

Exit status: 0 success, 1 invalid settings or resources, 2 an address can't be bound, 3 shut down with requests aborted.
)";

constexpr auto startPollInterval = std::chrono::milliseconds(50);

enum ExitStatus { Success = 0, InvalidSettings = 1, ListenFailure = 2, RequestsAborted = 3 };

int reportFailure(const Error &error, Event event, ExitStatus status)
{
    logEvent(event, {{"error", describe(error)}}, LogLevel::Error);
    std::cerr << "pollenspoked: " << describe(error) << '\n';
    return status;
}

// Listeners and tables are set up only at start, so a change isn't applied; an invalid file is reported now.
void recheckSettings(const std::string &fileName)
{
    const Result<Settings> settings = loadSettings(fileName);
    if (settings) {
        logEvent(Event::SettingsChecked, {{"settings", fileName}});
    } else {
        logEvent(Event::SettingsRefused, {{"error", describe(settings.error())}}, LogLevel::Error);
    }
}

// True if SIGTERM or SIGINT arrives within `timeout`.
bool isStopRequested(const sigset_t &signals, const std::string &fileName, std::chrono::nanoseconds timeout)
{
    const timespec timeoutSpec{.tv_sec = 0, .tv_nsec = timeout.count()};
    const int signal = sigtimedwait(&signals, nullptr, &timeoutSpec);
    if (signal == SIGHUP) {
        recheckSettings(fileName);
    }
    return signal == SIGTERM || signal == SIGINT;
}

// Blocks until SIGTERM or SIGINT.
void waitForStop(const sigset_t &signals, const std::string &fileName)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        recheckSettings(fileName);
    }
}

// A thread that still runs can't be joined and uses what the destructors would destroy, so the process ends without them.
template<typename VmType>
int stopVm(VmType &vm)
{
    const ExitStatus status = vm.stop() ? Success : RequestsAborted;
    if (vm.hasStalledWorker()) {
        std::_Exit(status);
    }
    return status;
}

int serveFleet(const Settings &settings, const SharedPlatform &shared, const sigset_t &signals, const std::string &fileName)
{
    FleetOptions options = shared.fleet;
    options.proxy = settings.proxy;
    options.proxy.wire = platformContract();
    applyContracts(shared.contracts, options.proxy);
    FleetVm vm(options, platformAdapter(shared.store));
    if (const Result<void> started = vm.start(); !started) {
        return reportFailure(started.error(), Event::ListenFailed, ListenFailure);
    }
    waitForStop(signals, fileName);
    return stopVm(vm);
}

std::string settingsFileName(const docopt::value &argument)
{
    if (argument) {
        return argument.asString();
    }
    const char *fileName = std::getenv("POLLENSPOKE_CONFIG");
    return fileName == nullptr ? std::string() : fileName;
}

int serve(const Settings &settings, PlatformClients platform, const sigset_t &signals, const std::string &fileName)
{
    Vm vm(settings, std::move(platform));
    if (const Result<void> started = vm.startOperatorApi(); !started) {
        return reportFailure(started.error(), Event::ListenFailed, ListenFailure);
    }
    while (!vm.waitForSnapshot(startPollInterval)) {
        if (isStopRequested(signals, fileName, startPollInterval)) {
            return Success;
        }
    }
    if (const Result<void> started = vm.startProxy(); !started) {
        return reportFailure(started.error(), Event::ListenFailed, ListenFailure);
    }
    waitForStop(signals, fileName);
    return stopVm(vm);
}

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "pollenspoked 0.1.0");
    const sigset_t signals = blockSignals(); // first, since SIGHUP may come at any time
    const std::string fileName = settingsFileName(arguments.at("--settings"));
    const Result<Settings> settings = loadSettings(fileName);
    if (!settings) {
        return reportFailure(settings.error(), Event::SettingsRefused, InvalidSettings);
    }
    setUpLogging(settings->log);
    logEvent(Event::VmStarting, {{"version", "0.1.0"}, {"settings", fileName}});
    if (const auto *shared = std::get_if<SharedPlatform>(&settings->platform); shared != nullptr && !arguments.at("--check").asBool()) {
        return serveFleet(*settings, *shared, signals, fileName);
    }
    Result<PlatformClients> platform = openPlatform(*settings);
    if (!platform) {
        return reportFailure(platform.error(), Event::SettingsRefused, InvalidSettings);
    }
    if (arguments.at("--check").asBool()) {
        std::cout << fileName << ": valid\n";
        return Success;
    }
    return serve(*settings, std::move(*platform), signals, fileName);
}
