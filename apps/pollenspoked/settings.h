/// @file
/// The settings file of pollenspoked.
#pragma once

#include <pollenspoke/fleet.h>

namespace Pollenspoke {

/// The object store in this process, filled from a file. One Vm, no platform.
struct EmbeddedPlatform
{
    std::string resources; // path of a YAML file
};

/// The platform's object API.
struct HttpPlatform
{
    Address address; // of its HTTP service; written as a url
};

/// A platform that VMs share: its store holds the declarations, the targets and the Vms.
struct SharedPlatform
{
    Address store;
    FleetOptions fleet; // its proxy options are those of Settings
};

struct Settings
{
    ProxyOptions proxy;           // vm, listen.callers, workers, front, dispatch, addresses
    Address operators;            // listen.operators; unused on a shared platform
    std::optional<Address> peers; // listen.peers; absent: no peers
    std::variant<EmbeddedPlatform, HttpPlatform, SharedPlatform> platform;
    LogOptions log;
    std::uint32_t drainTimeoutMs = 600000; // planned stop: longest wait for requests in flight
};

/// Reads and checks a settings file. Every key is checked; unknown ones are refused with file, line and path.
Result<Settings> loadSettings(const std::string &fileName);

} // namespace Pollenspoke
