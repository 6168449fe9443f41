/// @file
/// Sample objects and an HTTP store server for the tests of this package.
#pragma once

#include <pollenspoke/store.h>

namespace Pollenspoke {

Object makeAccount(const std::string &name, double rate = 1);
Object makeKey(const std::string &name, const std::string &account, char digit = 'a', KeyState state = KeyState::Active);

template<typename Value>
std::string errorText(const Result<Value> &result) // for check messages, which are built even if the check passes
{
    return result ? std::string() : describe(result.error());
}

std::uint16_t findFreePort(); // on 127.0.0.1, chosen by the operating system

/// Serves a store over the object protocol on its own port.
class StoreServer
{
public:
    explicit StoreServer(ObjectStore &operators, ObjectStore &system);

    HttpObjectStore client(bool isSystem = false, std::uint32_t timeoutMs = 2000) const;
    HttpStoreOptions options(bool isSystem = false, std::uint32_t timeoutMs = 2000) const;
    HttpReply send(const HttpRequest &request) const; // fails the test if there is no response

    MemoryVmDirectory vms;

private:
    std::uint16_t m_port;
    ObjectService m_service;
    HttpServer m_server;
};

} // namespace Pollenspoke
