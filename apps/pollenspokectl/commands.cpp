#include "commands.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::uint32_t callTimeoutMs = 10000; // longer than a Vm takes to prove a write whose answer the platform lost
constexpr auto watchWait = std::chrono::seconds(10);

std::string placeOf(const Object &object)
{
    return std::string(kindName(object.kind())) + "/" + object.name;
}

// Objects that others refer to come first.
int rankOf(Kind kind)
{
    constexpr std::array order{Kind::ClientAccount, Kind::Service, Kind::Key, Kind::Route, Kind::QuotaGrant, Kind::VmRecord};
    return static_cast<int>(std::find(order.begin(), order.end(), kind) - order.begin());
}

} // namespace

ExitStatus exitStatusFor(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Unavailable:
        return ExitStatus::NotDone;
    case ErrorCode::OutcomeUnknown:
        return ExitStatus::Unknown;
    default:
        return ExitStatus::Refused;
    }
}

std::string adviceFor(const Error &error)
{
    switch (error.code) {
    case ErrorCode::VersionConflict:
        return "someone else wrote it meanwhile; get it, check what changed, and write again with that version";
    case ErrorCode::Unavailable:
        return "nothing was written; check --server, or wait until the platform's store answers, and run it again";
    case ErrorCode::OutcomeUnknown:
        return "it may have been written; get it before you write again";
    case ErrorCode::DanglingReference:
        return "declare what is missing first, or remove what refers to it first";
    case ErrorCode::NotAllowed:
        return "only the system writes this kind";
    case ErrorCode::TooOld:
        return "that revision isn't kept any more; start from a get";
    default:
        return {};
    }
}

Result<std::vector<Object>> readResourceFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = fileName, .detail = "can't be read"});
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseYaml(text.str(), fileName);
}

Commands::Commands(Address server, std::ostream &out)
    : m_server(std::move(server))
    , m_store({.address = m_server, .timeoutMs = callTimeoutMs})
    , m_out(out)
{
}

Result<void> Commands::applyOne(const Object &object, bool isDryRun)
{
    const Result<Object> present = m_store.get(object.kind(), object.name);
    if (!present && present.error().code != ErrorCode::NotFound) {
        return tl::unexpected(present.error());
    }
    if (present && present->spec == object.spec) {
        m_out << placeOf(object) << ": unchanged, version " << present->version << '\n';
        return {};
    }
    const std::uint64_t expected = object.version != 0 || !present ? object.version : present->version;
    const WriteCondition condition = expected == 0 ? WriteCondition(MustNotExist{}) : WriteCondition(MustHaveVersion{expected});
    if (isDryRun) {
        m_out << placeOf(object) << ": would be " << (present ? "changed\n" : "created\n");
        for (const std::string &it : present ? describeChanges(*present, object) : std::vector<std::string>()) {
            m_out << "  " << it << '\n';
        }
        return {};
    }
    const Result<Object> written = putVerified(m_store, object, condition);
    if (!written) {
        return tl::unexpected(written.error());
    }
    m_out << placeOf(object) << ": " << (present ? "changed" : "created") << ", version " << written->version << '\n';
    return {};
}

Result<void> Commands::apply(std::vector<Object> objects, bool isDryRun)
{
    std::stable_sort(objects.begin(), objects.end(), [](const Object &a, const Object &b) { return rankOf(a.kind()) < rankOf(b.kind()); });
    for (const Object &it : objects) {
        if (Result<void> applied = applyOne(it, isDryRun); !applied) {
            return applied;
        }
    }
    return {};
}

Result<void> Commands::get(Kind kind, const std::string &name, OutputForm form)
{
    if (!name.empty()) {
        const Result<Object> object = m_store.get(kind, name);
        if (!object) {
            return tl::unexpected(object.error());
        }
        printObjects(m_out, {*object}, form);
        return {};
    }
    const Result<ObjectList> list = m_store.list({kind});
    if (!list) {
        return tl::unexpected(list.error());
    }
    printObjects(m_out, list->items, form);
    return {};
}

Result<void> Commands::watch(Kind kind, std::uint64_t since, std::uint64_t count)
{
    if (since == 0) {
        const Result<ObjectList> list = m_store.list({kind});
        if (!list) {
            return tl::unexpected(list.error());
        }
        since = list->revision;
    }
    for (std::uint64_t seen = 0; count == 0 || seen < count;) {
        const Result<Changes> changes = m_store.watch(since, {kind}, watchWait);
        if (!changes) {
            return tl::unexpected(changes.error());
        }
        for (const Change &it : changes->events) {
            m_out << (it.type == ChangeType::Put ? "put    " : "delete ") << toJson(it.object) << std::endl;
            ++seen;
        }
        since = changes->revision;
    }
    return {};
}

Result<void> Commands::remove(Kind kind, const std::string &name, std::uint64_t version)
{
    if (version == 0) {
        const Result<Object> present = m_store.get(kind, name);
        if (!present) {
            return tl::unexpected(present.error());
        }
        version = present->version;
    }
    if (Result<void> removed = m_store.remove(kind, name, version); !removed) {
        return removed;
    }
    m_out << kindName(kind) << '/' << name << ": deleted\n";
    return {};
}

Result<void> Commands::makeKey(const std::string &account, const std::string &name)
{
    const std::string secret = randomHex(secretBytes);
    const std::string hash = sha256Hex(secret);
    if (!account.empty()) {
        const Object key{.name = name, .spec = Key{.account = {account}, .sha256 = hash}};
        if (const Result<Object> written = putVerified(m_store, key, MustNotExist{}); !written) {
            return tl::unexpected(written.error());
        }
        m_out << placeOf(key) << ": created\n";
    }
    m_out << "secret: " << secret << '\n' << "sha256: " << hash << '\n';
    return {};
}

Result<void> Commands::withdrawKey(const std::string &name)
{
    Result<Object> present = m_store.get(Kind::Key, name);
    if (!present) {
        return tl::unexpected(present.error());
    }
    auto &key = std::get<Key>(present->spec);
    if (key.state == KeyState::Withdrawn) {
        m_out << "Key/" << name << ": withdrawn already, version " << present->version << '\n';
        return {};
    }
    key.state = KeyState::Withdrawn;
    const Result<Object> written = putVerified(m_store, *present, MustHaveVersion{present->version});
    if (!written) {
        return tl::unexpected(written.error());
    }
    m_out << "Key/" << name << ": withdrawn, version " << written->version << '\n';
    return {};
}

Result<JsonValue> Commands::readStatus() const
{
    const HttpExchange exchange = HttpClient({m_server.ip, m_server.port}).send({"GET", "/status", "", {}, ""}, callTimeoutMs);
    JsonValue status;
    std::string problem = exchange.problem;
    if (exchange.outcome != HttpOutcome::Answered || !parseJsonText(exchange.reply.body, status, problem)) {
        return tl::unexpected(Error{.code = ErrorCode::Unavailable, .path = toString(m_server), .detail = problem});
    }
    return status;
}

Result<void> Commands::status()
{
    const Result<JsonValue> status = readStatus();
    if (!status) {
        return tl::unexpected(status.error());
    }
    m_out << formatJsonText(*status) << '\n';
    return {};
}

Result<void> Commands::addresses()
{
    const Result<VmList> list = HttpVmDirectory({.address = m_server, .timeoutMs = callTimeoutMs}).vms();
    if (!list) {
        return tl::unexpected(list.error());
    }
    for (const VmEntry &it : list->vms) {
        m_out << it.name.value << ' ' << toString(it.address) << ' ' << it.failureDomain.value << ' '
              << (it.state == VmState::Live ? "live" : "leaving") << '\n';
    }
    return {};
}

Result<bool> Commands::isInForce(std::uint64_t revision)
{
    const Result<JsonValue> status = readStatus();
    if (!status) {
        return tl::unexpected(status.error());
    }
    const JsonValue *present = status->find("revision");
    return present != nullptr && present->number >= static_cast<double>(revision);
}

} // namespace Pollenspoke
