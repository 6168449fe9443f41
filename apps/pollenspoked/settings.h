/// @file
/// Settings of pollenspoked, read from a YAML file.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// An object store in this process, filled from a file. For a single Vm without a platform.
struct EmbeddedPlatform
{
    std::string resources; // path of the YAML file of resources
};

/// A remote platform, reached through its object API.
struct HttpPlatform
{
    Address address; // of its HTTP server; platform.url in the file
};

/// A platform shared by several Vms. Its store holds the declared objects, the targets and the registered Vms.
struct SharedPlatform
{
    Address store;
    std::vector<std::string> contracts; // names that the platform gives its conventions; interpreted in platform/
    FleetOptions fleet;                 // fleet.proxy is set from Settings::proxy at start
};

struct Settings
{
    ProxyOptions proxy;           // vm, listen.callers, workers, front, dispatch, addresses
    Address operators;            // listen.operators; unused on a shared platform
    std::optional<Address> peers; // listen.peers; absent: no peers
    std::variant<EmbeddedPlatform, HttpPlatform, SharedPlatform> platform;
    LogOptions log;
    std::uint32_t drainTimeoutMs = 600000; // graceful shutdown: longest wait for in-flight requests, ms
};

/// Reads and validates a settings file. An unknown key is an error; errors name file, line and path of the key.
Result<Settings> loadSettings(const std::string &fileName);

} // namespace Pollenspoke
