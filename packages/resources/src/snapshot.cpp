// Validation of references between objects, and look-ups by request attributes.
#include <pollenspoke/resources.h>

#include <set>

namespace Pollenspoke {

namespace {

struct ObjectIndex
{
    std::set<std::string> accounts;
    std::set<std::string> services;
    std::set<std::string> hashes;
    std::set<std::pair<std::string, std::string>> routes; // host + prefix, and method
};

std::string fieldPath(const Object &object, const std::string &field)
{
    return std::string(kindName(object.kind())) + "/" + object.name + ": " + field;
}

Result<void> makeError(ErrorCode code, const Object &object, const std::string &field, const std::string &detail)
{
    return tl::unexpected(Error{.code = code, .path = fieldPath(object, field), .detail = detail});
}

Result<void> checkKey(const Object &object, const Key &key, ObjectIndex &index)
{
    if (!index.accounts.contains(key.account.value)) {
        return makeError(ErrorCode::DanglingReference, object, "spec.account", "no ClientAccount is named " + key.account.value);
    }
    if (!index.hashes.insert(key.sha256).second) {
        return makeError(ErrorCode::Duplicate, object, "spec.sha256", "another Key has the same secret");
    }
    return {};
}

Result<void> checkRoute(const Object &object, const Route &route, ObjectIndex &index)
{
    if (route.split.empty() && !index.services.contains(route.service.value)) {
        return makeError(ErrorCode::DanglingReference, object, "spec.service", "no Service is named " + route.service.value);
    }
    for (const ServiceShare &it : route.split) {
        if (!index.services.contains(it.service.value)) {
            return makeError(ErrorCode::DanglingReference, object, "spec.split", "no Service is named " + it.service.value);
        }
    }
    for (const AccountName &it : route.accounts) {
        if (!index.accounts.contains(it.value)) {
            return makeError(ErrorCode::DanglingReference, object, "spec.accounts", "no ClientAccount is named " + it.value);
        }
    }
    const std::vector<std::string> methods = route.methods.empty() ? std::vector<std::string>{""} : route.methods;
    for (const std::string &it : methods) {
        if (!index.routes.emplace(route.host + route.pathPrefix, it).second) {
            return makeError(ErrorCode::Duplicate, object, "spec.match", "another Route matches the same host, prefix and method");
        }
    }
    return {};
}

// Returns the next shorter prefix that may match: "/a/b" for "/a/b/", "/a/" for "/a/b", nothing for "/".
std::string shorterPrefix(const std::string &prefix)
{
    if (prefix.ends_with('/')) {
        return prefix.substr(0, prefix.size() - 1);
    }
    const auto slash = prefix.rfind('/');
    return slash == std::string::npos ? std::string() : prefix.substr(0, slash + 1);
}

ObjectIndex indexNames(const std::vector<Object> &objects)
{
    ObjectIndex index;
    for (const Object &it : objects) {
        if (it.kind() == Kind::ClientAccount) {
            index.accounts.insert(it.name);
        }
        if (it.kind() == Kind::Service) {
            index.services.insert(it.name);
        }
    }
    return index;
}

} // namespace

std::vector<ObjectProblem> findProblems(const std::vector<Object> &objects)
{
    ObjectIndex index = indexNames(objects);
    std::set<std::pair<Kind, std::string>> visited;
    std::vector<ObjectProblem> problems;
    for (const Object &it : objects) {
        Result<void> checked;
        if (!visited.emplace(it.kind(), it.name).second) {
            checked = makeError(ErrorCode::Duplicate, it, "name", "another object of this kind has this name");
        } else if (const auto *key = std::get_if<Key>(&it.spec)) {
            checked = checkKey(it, *key, index);
        } else if (const auto *route = std::get_if<Route>(&it.spec)) {
            checked = checkRoute(it, *route, index);
        }
        if (!checked) {
            problems.push_back(ObjectProblem{.kind = it.kind(), .name = it.name, .error = checked.error()});
        }
    }
    return problems;
}

Result<void> checkReferences(const std::vector<Object> &objects)
{
    const std::vector<ObjectProblem> problems = findProblems(objects);
    if (!problems.empty()) {
        return tl::unexpected(problems.front().error);
    }
    return {};
}

Result<std::shared_ptr<const Snapshot>> Snapshot::build(const std::vector<Object> &objects, std::uint64_t revision)
{
    if (const Result<void> checked = checkReferences(objects); !checked) {
        return tl::unexpected(checked.error());
    }
    std::shared_ptr<Snapshot> snapshot(new Snapshot());
    snapshot->m_revision = revision;
    const auto declared = std::make_shared<Declared>();
    for (const Object &it : objects) {
        if (const auto *account = std::get_if<ClientAccount>(&it.spec)) {
            declared->accounts.emplace(AccountName{it.name}, *account);
        } else if (const auto *service = std::get_if<Service>(&it.spec)) {
            snapshot->m_services.emplace(ServiceName{it.name}, *service);
        } else if (const auto *key = std::get_if<Key>(&it.spec)) {
            declared->keys.emplace(KeyName{it.name}, *key);
            declared->keysByHash.emplace(key->sha256, KeyName{it.name});
        } else if (const auto *route = std::get_if<Route>(&it.spec)) {
            declared->routes.emplace(RouteName{it.name}, *route);
            declared->routesByPrefix[route->host + route->pathPrefix].push_back(RouteName{it.name});
        }
    }
    snapshot->m_declared = declared;
    return std::shared_ptr<const Snapshot>(std::move(snapshot));
}

std::shared_ptr<const Snapshot> Snapshot::withTargets(const std::map<ServiceName, std::vector<Target>> &targets,
                                                      std::uint64_t revision) const
{
    std::shared_ptr<Snapshot> snapshot(new Snapshot());
    snapshot->m_revision = revision;
    snapshot->m_declared = m_declared;
    snapshot->m_services = m_services;
    for (auto &[name, service] : snapshot->m_services) {
        const auto it = targets.find(name);
        service.targets = it == targets.end() ? std::vector<Target>() : it->second;
    }
    return snapshot;
}

std::optional<KeyMatch> Snapshot::findKey(std::string_view sha256) const
{
    const auto it = m_declared->keysByHash.find(std::string(sha256));
    if (it == m_declared->keysByHash.end()) {
        return std::nullopt;
    }
    return KeyMatch{.name = it->second, .key = &m_declared->keys.at(it->second)};
}

const ClientAccount *Snapshot::findAccount(const AccountName &name) const
{
    const auto it = m_declared->accounts.find(name);
    return it == m_declared->accounts.end() ? nullptr : &it->second;
}

const Service *Snapshot::findService(const ServiceName &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

std::vector<RouteMatch> Snapshot::findRoutes(std::string_view host, std::string_view path) const
{
    for (std::string prefix(path); !prefix.empty(); prefix = shorterPrefix(prefix)) {
        for (const std::string_view it : {host, std::string_view()}) {
            const auto entry = m_declared->routesByPrefix.find(std::string(it) + prefix);
            if (entry == m_declared->routesByPrefix.end()) {
                continue;
            }
            std::vector<RouteMatch> matches;
            for (const RouteName &name : entry->second) {
                matches.push_back(RouteMatch{.name = name, .route = &m_declared->routes.at(name)});
            }
            return matches;
        }
    }
    return {};
}

} // namespace Pollenspoke
