#include "commands.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <sstream>

namespace Pollenspoke {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::uint32_t callTimeoutMs = 10000; // longer than a Vm needs to settle a write whose response from the platform was lost
constexpr auto watchTimeout = std::chrono::seconds(10);

std::string qualifiedName(const Object &object)
{
    return std::string(kindName(object.kind())) + "/" + object.name;
}

// Position of the kind in the order of writing: objects that others refer to come first.
int writeOrder(Kind kind)
{
    constexpr std::array order{Kind::ClientAccount, Kind::Service, Kind::Key, Kind::Route, Kind::QuotaGrant, Kind::VmRecord};
    return static_cast<int>(std::find(order.begin(), order.end(), kind) - order.begin());
}

} // namespace

ExitStatus exitStatusFor(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Unavailable:
        return ExitStatus::Unavailable;
    case ErrorCode::OutcomeUnknown:
        return ExitStatus::OutcomeUnknown;
    default:
        return ExitStatus::Refused;
    }
}

std::string adviceFor(const Error &error)
{
    switch (error.code) {
    case ErrorCode::VersionConflict:
        return "it was changed concurrently; get it, check what changed, and write again with the new version";
    case ErrorCode::Unavailable:
        return "nothing was written; check --server, or wait until the platform's store responds, and try again";
    case ErrorCode::OutcomeUnknown:
        return "the write may have taken effect; get the object before writing again";
    case ErrorCode::DanglingReference:
        return "create the missing object first, or first delete the objects that refer to this one";
    case ErrorCode::NotAllowed:
        return "objects of this kind are written by the system only";
    case ErrorCode::TooOld:
        return "that revision is no longer in the history; start again from a get";
    default:
        return {};
    }
}

Result<std::vector<Object>> readResourceFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return tl::unexpected(Error{.code = ErrorCode::Io, .path = fileName, .detail = "can't open the file"});
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
    const Result<StoredObject> current = m_store.get(object.kind(), object.name);
    if (!current && current.error().code != ErrorCode::NotFound) {
        return tl::unexpected(current.error());
    }
    if (current && current->object.spec == object.spec) {
        m_out << qualifiedName(object) << ": unchanged, version " << current->object.version << '\n';
        return {};
    }
    MustHaveVersion required{.version = object.version};
    if (object.version == 0 && current) {
        required = {.version = current->object.version, .era = current->era};
    }
    const WriteCondition condition = required.version == 0 ? WriteCondition(MustNotExist{}) : WriteCondition(required);
    if (isDryRun) {
        m_out << qualifiedName(object) << ": would be " << (current ? "changed\n" : "created\n");
        for (const std::string &it : current ? describeChanges(current->object, object) : std::vector<std::string>()) {
            m_out << "  " << it << '\n';
        }
        return {};
    }
    const Result<Object> written = putVerified(m_store, object, condition);
    if (!written) {
        return tl::unexpected(written.error());
    }
    m_out << qualifiedName(object) << ": " << (current ? "changed" : "created") << ", version " << written->version << '\n';
    return {};
}

Result<void> Commands::apply(std::vector<Object> objects, bool isDryRun)
{
    std::stable_sort(
        objects.begin(), objects.end(), [](const Object &a, const Object &b) { return writeOrder(a.kind()) < writeOrder(b.kind()); });
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
        const Result<StoredObject> stored = m_store.get(kind, name);
        if (!stored) {
            return tl::unexpected(stored.error());
        }
        printObjects(m_out, {stored->object}, form);
        return {};
    }
    const Result<ObjectList> list = m_store.list({kind});
    if (!list) {
        return tl::unexpected(list.error());
    }
    printObjects(m_out, list->items, form);
    return {};
}

Result<void> Commands::watch(Kind kind, std::uint64_t sinceRevision, std::uint64_t count)
{
    StorePosition since(0, sinceRevision);
    if (sinceRevision == 0) {
        const Result<ObjectList> list = m_store.list({kind});
        if (!list) {
            return tl::unexpected(list.error());
        }
        since = list->position;
    }
    for (std::uint64_t printed = 0; count == 0 || printed < count;) {
        const Result<Changes> changes = m_store.watch(since, {kind}, watchTimeout);
        if (!changes) {
            return tl::unexpected(changes.error());
        }
        for (const Change &it : changes->events) {
            m_out << (it.type == ChangeType::Put ? "put    " : "delete ") << toJson(it.object) << std::endl;
            ++printed;
        }
        since = changes->position;
    }
    return {};
}

Result<void> Commands::remove(Kind kind, const std::string &name, std::uint64_t version)
{
    MustHaveVersion required{.version = version};
    if (version == 0) {
        const Result<StoredObject> current = m_store.get(kind, name);
        if (!current) {
            return tl::unexpected(current.error());
        }
        required = {.version = current->object.version, .era = current->era};
    }
    if (Result<void> removed = m_store.remove(kind, name, required); !removed) {
        return removed;
    }
    m_out << kindName(kind) << '/' << name << ": deleted\n";
    return {};
}

Result<void> Commands::createKey(const std::string &account, const std::string &name)
{
    const std::string secret = randomHex(secretBytes);
    const std::string hash = sha256Hex(secret);
    if (!account.empty()) {
        const Object key{.name = name, .spec = Key{.account = {account}, .sha256 = hash}};
        if (const Result<Object> written = putVerified(m_store, key, MustNotExist{}); !written) {
            return tl::unexpected(written.error());
        }
        m_out << qualifiedName(key) << ": created\n";
    }
    m_out << "secret: " << secret << '\n' << "sha256: " << hash << '\n';
    return {};
}

Result<void> Commands::withdrawKey(const std::string &name)
{
    const Result<StoredObject> current = m_store.get(Kind::Key, name);
    if (!current) {
        return tl::unexpected(current.error());
    }
    Object withdrawn = current->object;
    auto &key = std::get<Key>(withdrawn.spec);
    if (key.state == KeyState::Withdrawn) {
        m_out << "Key/" << name << ": already withdrawn, version " << withdrawn.version << '\n';
        return {};
    }
    key.state = KeyState::Withdrawn;
    const Result<Object> written = putVerified(m_store, withdrawn, MustHaveVersion{.version = withdrawn.version, .era = current->era});
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
    const JsonValue *inForce = status->find("revision");
    return inForce != nullptr && inForce->number >= static_cast<double>(revision);
}

} // namespace Pollenspoke
