/// @file
/// Objects and a served store for the tests of this package.
#pragma once

#include <pollenspoke/store.h>

namespace Pollenspoke {

Object makeAccount(const std::string &name, double rate = 1);
Object makeKey(const std::string &name, const std::string &account, char digit = 'a', KeyState state = KeyState::Active);

template<typename Value>
std::string problemOf(const Result<Value> &result) // for messages of checks, which are built even when the check holds
{
    return result ? std::string() : describe(result.error());
}

std::uint16_t findFreePort(); // of 127.0.0.1, chosen by the system

/// A store behind the object protocol on a port of its own.
class ServedStore
{
public:
    explicit ServedStore(ObjectStore &operators, ObjectStore &system);

    HttpObjectStore client(bool isSystem = false, std::uint32_t timeoutMs = 2000) const;
    HttpStoreOptions options(bool isSystem = false, std::uint32_t timeoutMs = 2000) const;
    HttpReply send(const HttpRequest &request) const; // fails the test when there is no answer

    MemoryVmDirectory vms;

private:
    std::uint16_t m_port;
    ObjectService m_service;
    HttpServer m_server;
};

} // namespace Pollenspoke
