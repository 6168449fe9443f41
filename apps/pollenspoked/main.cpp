// The daemon that runs on every entry Vm.
#include "vm.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <pollenspoke/platform.h>

namespace {

using namespace Pollenspoke;

constexpr const char *usage = R"(pollenspoked: the proxy daemon of one entry Vm.

Usage:
  pollenspoked [--settings FILE] [--check]
  pollenspoked --help
  pollenspoked --version

Options:
  --settings FILE  YAML settings of this Vm; without it, the file that POLLENSPOKE_CONFIG names.
  --check          Check the settings and the embedded resources, then end.
  --help           Show this text.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Planned stop: no request is cut.
  SIGHUP           The settings are checked again; a change takes effect at the next start.

Exit status: 0 well, 1 settings or resources refused, 2 an address can't be bound, 3 stopped with requests cut.
)";

constexpr auto startPoll = std::chrono::milliseconds(50);

enum ExitStatus { Well = 0, Refused = 1, CannotListen = 2, StoppedWithCuts = 3 };

int refuse(const Error &error, Event event, ExitStatus status)
{
    logEvent(event, {{"error", describe(error)}}, LogLevel::Error);
    std::cerr << "pollenspoked: " << describe(error) << '\n';
    return status;
}

// True when a planned stop was asked for within `wait`.
bool isStopAsked(const sigset_t &signals, std::chrono::nanoseconds wait)
{
    const timespec timeout{.tv_sec = 0, .tv_nsec = wait.count()};
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

// Settings bind addresses and size tables, so a change waits for the next start; a bad one is told now.
void recheckSettings(const std::string &fileName)
{
    const Result<Settings> settings = loadSettings(fileName);
    if (settings) {
        logEvent(Event::SettingsChecked, {{"settings", fileName}});
    } else {
        logEvent(Event::SettingsRefused, {{"error", describe(settings.error())}}, LogLevel::Error);
    }
}

// Returns when a planned stop is asked for.
void waitForStop(const sigset_t &signals, const std::string &fileName)
{
    int signal = 0;
    while (sigwait(&signals, &signal) != 0 || signal == SIGHUP) {
        recheckSettings(fileName);
    }
}

int serveFleet(const Settings &settings, const SharedPlatform &shared, const sigset_t &signals, const std::string &fileName)
{
    FleetOptions options = shared.fleet;
    options.proxy = settings.proxy;
    options.proxy.wire = platformContract();
    FleetVm vm(options, platformAdapter(shared.store));
    if (const Result<void> started = vm.start(); !started) {
        return refuse(started.error(), Event::ListenFailed, CannotListen);
    }
    waitForStop(signals, fileName);
    return vm.stop() ? Well : StoppedWithCuts;
}

std::string settingsFile(const docopt::value &argument)
{
    if (argument) {
        return argument.asString();
    }
    const char *fileName = std::getenv("POLLENSPOKE_CONFIG");
    return fileName == nullptr ? std::string() : fileName;
}

int serve(const Settings &settings, PlatformParts platform, const sigset_t &signals, const std::string &fileName)
{
    Vm vm(settings, std::move(platform));
    if (const Result<void> started = vm.startOperators(); !started) {
        return refuse(started.error(), Event::ListenFailed, CannotListen);
    }
    while (!vm.waitForSnapshot(startPoll)) {
        if (isStopAsked(signals, startPoll)) {
            return Well;
        }
    }
    if (const Result<void> started = vm.startCallers(); !started) {
        return refuse(started.error(), Event::ListenFailed, CannotListen);
    }
    waitForStop(signals, fileName);
    return vm.stop() ? Well : StoppedWithCuts;
}

sigset_t blockStopSignals()
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
    const std::string fileName = settingsFile(arguments.at("--settings"));
    const Result<Settings> settings = loadSettings(fileName);
    if (!settings) {
        return refuse(settings.error(), Event::SettingsRefused, Refused);
    }
    const sigset_t signals = blockStopSignals();
    setUpLogging(settings->log);
    logEvent(Event::VmStarting, {{"version", "0.1.0"}, {"settings", fileName}});
    if (const auto *shared = std::get_if<SharedPlatform>(&settings->platform); shared != nullptr && !arguments.at("--check").asBool()) {
        return serveFleet(*settings, *shared, signals, fileName);
    }
    Result<PlatformParts> platform = openPlatform(*settings);
    if (!platform) {
        return refuse(platform.error(), Event::SettingsRefused, Refused);
    }
    if (arguments.at("--check").asBool()) {
        std::cout << fileName << ": well\n";
        return Well;
    }
    return serve(*settings, std::move(*platform), signals, fileName);
}
