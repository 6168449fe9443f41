// pollenspokectl, the command-line tool for operators: arguments and exit status.
#include "commands.h"

#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace {

using namespace Pollenspoke;

constexpr const char *usage = R"(pollenspokectl: manages the resources of a pollenspoke deployment.

Usage:
  pollenspokectl validate FILE
  pollenspokectl apply -f FILE [--dry-run] [--server URL]
  pollenspokectl get KIND [NAME] [-o FORM] [--server URL]
  pollenspokectl watch KIND [--since REVISION] [--count N] [--server URL]
  pollenspokectl delete KIND NAME [--at VERSION] [--server URL]
  pollenspokectl key new [ACCOUNT NAME] [--server URL]
  pollenspokectl key withdraw NAME [--server URL]
  pollenspokectl status [--server URL]
  pollenspokectl addresses [--server URL]
  pollenspokectl wait --in-force REVISION [--timeout SECONDS] [--server URL]
  pollenspokectl --help
  pollenspokectl --version

Options:
  -f FILE               Resource file: YAML documents separated by ---.
  --dry-run             Show what would change without writing anything.
  -o FORM               Output format: table, yaml or json [default: table].
  --since REVISION      Show changes after this revision; 0: from now on [default: 0].
  --count N             Exit after N changes; 0: no limit [default: 0].
  --at VERSION          Delete only if this is the current version; 0: whatever version is current [default: 0].
  --in-force REVISION   Wait until this revision is in force.
  --timeout SECONDS     Maximum time to wait [default: 10].
  --server URL          Operator API of a Vm; wait and status accept a comma-separated list
                        [default: http://127.0.0.1:8081].

Commands:
  validate      Check a resource file offline; writes nothing.
  apply         Create or update the objects of a resource file that differ from the stored ones. An object with a version
                is written only if that is the current version.
  get           Show one object, or all objects of a kind.
  watch         Show changes to a kind as they happen.
  delete        Delete an object. Fails if other objects refer to it.
  key new       Generate a secret and print it with its hash. With ACCOUNT and NAME, also create a Key object, which holds
                only the hash. The secret can't be shown again.
  key withdraw  Withdraw a key permanently.
  status        Show the state of a Vm: revision in force, store connection, skipped objects.
  addresses     List the Vms registered with the platform.
  wait          Wait until a revision is in force on all servers.

Exit status: 0 success, 1 input or write rejected, 2 not done (server or store unreachable), 3 outcome of the write unknown,
4 timed out waiting for the revision, 64 usage error.
)";

constexpr auto waitPollInterval = std::chrono::milliseconds(50);

using Arguments = std::map<std::string, docopt::value>;

int exitCode(ExitStatus status)
{
    return static_cast<int>(status);
}

int fail(const Error &error)
{
    std::cerr << "pollenspokectl: " << describe(error) << '\n';
    if (const std::string advice = adviceFor(error); !advice.empty()) {
        std::cerr << "  " << advice << '\n';
    }
    return exitCode(exitStatusFor(error));
}

int exitCode(const Result<void> &result)
{
    return result ? exitCode(ExitStatus::Success) : fail(result.error());
}

int failUsage(const std::string &detail)
{
    std::cerr << "pollenspokectl: " << detail << "; see pollenspokectl --help\n";
    return exitCode(ExitStatus::UsageError);
}

std::string textOf(const Arguments &arguments, const std::string &name)
{
    const docopt::value &value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

std::uint64_t countOf(const Arguments &arguments, const std::string &name)
{
    return static_cast<std::uint64_t>(std::max(0L, arguments.at(name).asLong()));
}

bool isSet(const Arguments &arguments, const std::string &name)
{
    return arguments.at(name).asBool();
}

int validate(const std::string &fileName)
{
    const Result<std::vector<Object>> objects = readResourceFile(fileName);
    if (!objects) {
        return fail(objects.error());
    }
    if (const Result<void> checked = checkReferences(*objects); !checked) {
        return fail(checked.error());
    }
    std::cout << fileName << ": " << objects->size() << " objects, valid\n";
    return exitCode(ExitStatus::Success);
}

int apply(Commands &commands, const Arguments &arguments)
{
    const Result<std::vector<Object>> objects = readResourceFile(textOf(arguments, "-f"));
    if (!objects) {
        return fail(objects.error());
    }
    return exitCode(commands.apply(*objects, isSet(arguments, "--dry-run")));
}

int runOnKind(Commands &commands, const Arguments &arguments)
{
    const std::optional<Kind> kind = kindFromName(textOf(arguments, "KIND"));
    if (!kind) {
        return failUsage("KIND must be one of ClientAccount Key Route Service QuotaGrant VmRecord");
    }
    const std::string name = textOf(arguments, "NAME");
    if (isSet(arguments, "watch")) {
        return exitCode(commands.watch(*kind, countOf(arguments, "--since"), countOf(arguments, "--count")));
    }
    if (isSet(arguments, "delete")) {
        return exitCode(commands.remove(*kind, name, countOf(arguments, "--at")));
    }
    const std::optional<OutputForm> form = outputFormFromName(textOf(arguments, "-o"));
    if (!form) {
        return failUsage("-o must be table, yaml or json");
    }
    return exitCode(commands.get(*kind, name, *form));
}

// Waits until the revision or a later one is in force on every server.
int waitInForce(const std::vector<Address> &servers, const Arguments &arguments)
{
    const std::uint64_t revision = countOf(arguments, "--in-force");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(countOf(arguments, "--timeout"));
    for (const Address &it : servers) {
        Commands commands(it, std::cout);
        for (;;) {
            const Result<bool> inForce = commands.isInForce(revision);
            if (inForce && *inForce) {
                break;
            }
            if (std::chrono::steady_clock::now() >= deadline) {
                std::cerr << "pollenspokectl: revision " << revision << " is not in force on " << toString(it)
                          << "; see pollenspokectl status\n";
                return exitCode(ExitStatus::TimedOut);
            }
            std::this_thread::sleep_for(waitPollInterval);
        }
    }
    std::cout << "revision " << revision << " is in force on " << servers.size() << " Vms\n";
    return exitCode(ExitStatus::Success);
}

int showStatus(const std::vector<Address> &servers)
{
    for (const Address &it : servers) {
        if (const Result<void> shown = Commands(it, std::cout).status(); !shown) {
            return fail(shown.error());
        }
    }
    return exitCode(ExitStatus::Success);
}

int runKey(Commands &commands, const Arguments &arguments)
{
    if (isSet(arguments, "withdraw")) {
        return exitCode(commands.withdrawKey(textOf(arguments, "NAME")));
    }
    return exitCode(commands.createKey(textOf(arguments, "ACCOUNT"), textOf(arguments, "NAME")));
}

std::optional<std::vector<Address>> parseServers(const std::string &text)
{
    std::vector<Address> servers;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it, ',');) {
        const Result<Address> address = parseHttpUrl(it);
        if (!address) {
            return std::nullopt;
        }
        servers.push_back(*address);
    }
    return servers.empty() ? std::nullopt : std::optional(servers);
}

int run(const Arguments &arguments)
{
    if (isSet(arguments, "validate")) {
        return validate(textOf(arguments, "FILE"));
    }
    const auto servers = parseServers(textOf(arguments, "--server"));
    if (!servers) {
        return failUsage("--server must be a URL such as http://127.0.0.1:8081");
    }
    Commands commands(servers->front(), std::cout);
    if (isSet(arguments, "apply")) {
        return apply(commands, arguments);
    }
    if (isSet(arguments, "key")) {
        return runKey(commands, arguments);
    }
    if (isSet(arguments, "status")) {
        return showStatus(*servers);
    }
    if (isSet(arguments, "addresses")) {
        return exitCode(commands.addresses());
    }
    if (isSet(arguments, "wait")) {
        return waitInForce(*servers, arguments);
    }
    return runOnKind(commands, arguments);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const Arguments arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        if (isSet(arguments, "--version")) {
            std::cout << "pollenspokectl 0.1.0\n";
            return exitCode(ExitStatus::Success);
        }
        return run(arguments);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return exitCode(ExitStatus::Success);
    } catch (const docopt::DocoptArgumentError &error) {
        return failUsage(std::string("wrong usage: ") + error.what());
    } catch (const std::invalid_argument &) {
        return failUsage("expected a number");
    }
}
