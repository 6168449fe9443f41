// Stand-ins for the scripts of the second review: the platform's store, servers, clients and the platform that starts processes.
// They speak what the users' pages say, over loopback addresses and the real clock, with blocking sockets and a thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point startOfRun = Clock::now();
inline double nowS() { return std::chrono::duration<double>(Clock::now() - startOfRun).count(); }
inline void sleepMs(long ms) { std::this_thread::sleep_for(Ms(ms)); }
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

//---------------------------------------------------------------------------------------------------------------------------------
// Record
//---------------------------------------------------------------------------------------------------------------------------------

class Record
{
public:
    explicit Record(const std::string &file) : m_file(file) {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f ", nowS());
        m_file << time << text << '\n';
    }
    void note(const std::string &text) // also for the terminal
    {
        line(text);
        {
            const std::lock_guard lock(m_mutex);
            m_file.flush();
        }
        std::printf("%9.3f %s\n", nowS(), text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

//---------------------------------------------------------------------------------------------------------------------------------
// Sockets and HTTP
//---------------------------------------------------------------------------------------------------------------------------------

struct Address
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
    static Address parse(const std::string &text)
    {
        const auto colon = text.rfind(':');
        return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline int freePort(const std::string &ip, int type = SOCK_STREAM)
{
    const int fd = ::socket(AF_INET, type, 0);
    sockaddr_in address = toSockaddr({ip, 0});
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    socklen_t n = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
    ::close(fd);
    return ntohs(address.sin_port);
}

inline void resetAndClose(int fd)
{
    const linger option{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    ::close(fd);
}

/// A connection with a read buffer. Reads fail after the time-out.
class Connection
{
public:
    explicit Connection(int fd = -1) : m_fd(fd) {}
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
        m_buffer.clear();
    }
    void reset()
    {
        if (m_fd >= 0) {
            resetAndClose(m_fd);
        }
        m_fd = -1;
        m_buffer.clear();
    }
    bool connect(const Address &address, int timeoutMs)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const sockaddr_in to = toSockaddr(address);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
            pollfd it{m_fd, POLLOUT, 0};
            int error = 0;
            socklen_t n = sizeof(error);
            if (errno != EINPROGRESS || ::poll(&it, 1, timeoutMs) <= 0
                || ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
                close();
                return false;
            }
        }
        ::fcntl(m_fd, F_SETFL, ::fcntl(m_fd, F_GETFL) & ~O_NONBLOCK);
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return true;
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (m_fd >= 0 && sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return m_fd >= 0;
    }
    // Appends what arrives to the buffer. False: end, error or time-out.
    bool receive(int timeoutMs)
    {
        pollfd it{m_fd, POLLIN, 0};
        if (m_fd < 0 || ::poll(&it, 1, timeoutMs) <= 0) {
            return false;
        }
        char part[16384];
        const ssize_t n = ::recv(m_fd, part, sizeof(part), 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(part, static_cast<std::size_t>(n));
        return true;
    }
    std::string &buffer() { return m_buffer; }

private:
    int m_fd;
    std::string m_buffer;
};

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
    std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    std::string target() const
    {
        const auto first = firstLine.find(' ');
        return firstLine.substr(first + 1, firstLine.rfind(' ') - first - 1);
    }
};

/// Reads one message whose body has a length or comes in chunks. False: the connection ended or was silent before its end.
inline bool readMessage(Connection &connection, Message &message, int timeoutMs)
{
    const Clock::time_point deadline = Clock::now() + Ms(timeoutMs);
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<Ms>(deadline - Clock::now()).count();
        return left > 0 && connection.receive(static_cast<int>(left));
    };
    std::string &buffer = connection.buffer();
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    message = {};
    std::getline(head, message.firstLine);
    if (!message.firstLine.empty() && message.firstLine.back() == '\r') {
        message.firstLine.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        for (char &it : name) {
            it = static_cast<char>(std::tolower(it));
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    if (message.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return false;
                }
            }
            const std::size_t n = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + n + 2) {
                if (!more()) {
                    return false;
                }
            }
            message.body += buffer.substr(lineEnd + 2, n);
            buffer.erase(0, lineEnd + 2 + n + 2);
            if (n == 0) {
                return true;
            }
        }
    }
    const std::size_t n = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < n) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffer.substr(0, n);
    buffer.erase(0, n);
    return true;
}

/// Accepts connections on one address until it is destroyed; each is handled in a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(Address address, Handler handler) : m_address(std::move(address)), m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in to = toSockaddr(m_address);
        socklen_t n = sizeof(to);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&to), n) != 0 || ::listen(m_fd, 1024) != 0) {
            std::fprintf(stderr, "can't listen on %s\n", m_address.text().c_str());
            std::exit(2);
        }
        ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&to), &n);
        m_address.port = ntohs(to.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    void stop()
    {
        m_isStopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
            ::close(m_fd);
            for (int i = 0; i < 500 && *m_handlers > 0; ++i) { // they use objects that are destroyed next
                sleepMs(10);
            }
        }
    }
    ~Listener() { stop(); }
    const Address &address() const { return m_address; }

private:
    void run()
    {
        while (!m_isStopping) {
            pollfd it{m_fd, POLLIN, 0};
            if (::poll(&it, 1, 50) <= 0) {
                continue;
            }
            const int fd = ::accept(m_fd, nullptr, nullptr);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            ++*m_handlers;
            std::thread([handler = m_handler, handlers = m_handlers, fd] {
                {
                    Connection connection(fd);
                    handler(connection);
                }
                --*handlers;
            }).detach();
        }
    }

    Address m_address;
    Handler m_handler;
    int m_fd = -1;
    std::atomic<bool> m_isStopping{false};
    std::shared_ptr<std::atomic<int>> m_handlers = std::make_shared<std::atomic<int>>(0);
    std::thread m_thread;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

//---------------------------------------------------------------------------------------------------------------------------------
// The platform's store
//---------------------------------------------------------------------------------------------------------------------------------

/// Objects by kind and name, with one revision counter, lists and watches. Each machine reaches it through a gate of its own.
class Store
{
public:
    /// A machine's way to the store. While it is cut, connections of that machine are reset.
    struct Gate
    {
        std::atomic<bool> isCut{false};
        std::unique_ptr<Listener> listener;
    };

    explicit Store(Record &record) : m_record(record) {}

    Gate &openGate(const std::string &ip)
    {
        Gate &gate = *m_gates.emplace_back(std::make_unique<Gate>());
        gate.listener = std::make_unique<Listener>(Address{ip, 0}, [this, &gate](Connection &it) { serve(it, gate); });
        return gate;
    }
    void setCut(Gate &gate, bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        gate.isCut = isCut;
        m_changed.notify_all();
    }
    void put(const std::string &kind, const std::string &name, const std::string &spec) // by the operator or a server
    {
        const std::lock_guard lock(m_mutex);
        putLocked(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }
    bool has(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind].contains(name);
    }

private:
    struct Object
    {
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Event
    {
        std::uint64_t rev = 0;
        std::string kind;
        std::string text;
    };

    static std::string format(const std::string &name, const Object &it)
    {
        return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(it.rev) + R"(,"created":)" + std::to_string(it.created)
            + R"(,"finalizers":[],"deletion-pending":false},"spec":)" + it.spec + R"(,"status":null})";
    }
    void putLocked(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &it = m_objects[kind][name];
        if (it.rev != 0 && it.spec == spec) {
            return;
        }
        it.rev = ++m_rev;
        it.created = it.created == 0 ? it.rev : it.created;
        it.spec = spec;
        m_events.push_back({m_rev, kind, R"({"deleted":false,"object":)" + format(name, it) + "}"});
        m_changed.notify_all();
    }
    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) {
            return;
        }
        it->second.rev = ++m_rev;
        m_events.push_back({m_rev, kind, R"({"deleted":true,"object":)" + format(name, it->second) + "}"});
        m_objects[kind].erase(it);
        m_changed.notify_all();
    }
    static std::string queryValue(const std::string &query, const std::string &name)
    {
        std::istringstream parts(query);
        for (std::string it; std::getline(parts, it, '&');) {
            if (it.starts_with(name + "=")) {
                return it.substr(name.size() + 1);
            }
        }
        return {};
    }
    static std::string textField(const std::string &json, const std::string &name)
    {
        const auto at = json.find("\"" + name + "\":\"");
        const auto begin = at + name.size() + 4;
        return at == std::string::npos ? std::string() : json.substr(begin, json.find('"', begin) - begin);
    }
    static std::uint64_t numberField(const std::string &json, const std::string &name)
    {
        const auto at = json.find("\"" + name + "\":");
        return at == std::string::npos ? 0 : std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
    }

    void serve(Connection &connection, Gate &gate)
    {
        Message request;
        while (!gate.isCut && readMessage(connection, request, 30000)) {
            if (gate.isCut) {
                break;
            }
            sleepMs(4); // the time of an answer
            const std::string answer = handle(request, gate);
            if (gate.isCut || !connection.send(answer)) {
                break;
            }
            if (request.header("connection") == "close") {
                return;
            }
        }
        connection.reset();
    }

    std::string handle(const Message &request, Gate &gate)
    {
        const std::string json = "Content-Type: application/json\r\n";
        const std::string target = request.target();
        const std::string prefix = "/api/objects/";
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        if (!path.starts_with(prefix)) {
            return response(404, json, "{}");
        }
        const std::string rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && name.empty()) {
            const std::string since = queryValue(query, "watch");
            return since.empty() ? list(kind, queryValue(query, "after"))
                                 : watch(lock, gate, kind, std::stoull(since), std::atol(queryValue(query, "wait-ms").c_str()));
        }
        if (request.method() == "GET") {
            const auto it = m_objects[kind].find(name);
            return it == m_objects[kind].end() ? response(404, json, "{}") : response(200, json, format(name, it->second));
        }
        const std::uint64_t rev = request.method() == "DELETE" ? std::strtoull(queryValue(query, "rev").c_str(), nullptr, 10)
                                                               : numberField(request.body, "rev");
        name = name.empty() ? textField(request.body, "name") : name;
        const auto it = m_objects[kind].find(name);
        const bool exists = it != m_objects[kind].end();
        const bool isCreation = request.method() == "POST";
        m_record.line("store " + request.method() + " " + kind + "/" + name);
        if (!isCreation && !exists) {
            return response(404, json, "{}");
        }
        if ((isCreation && exists) || (rev != 0 && rev != it->second.rev)) {
            return response(409, json, format(name, it->second));
        }
        if (request.method() == "DELETE") {
            const std::string last = format(name, it->second);
            removeLocked(kind, name);
            return response(200, json, last);
        }
        const auto spec = request.body.find("\"spec\":");
        putLocked(kind, name, request.body.substr(spec + 7, request.body.rfind('}') - spec - 7));
        return response(200, json, format(name, m_objects[kind][name]));
    }
    std::string list(const std::string &kind, const std::string &after)
    {
        std::string items;
        for (const auto &[name, it] : m_objects[kind]) {
            if (name > after) {
                items += (items.empty() ? "" : ",") + format(name, it);
            }
        }
        return response(200,
                        "Content-Type: application/json\r\n",
                        R"({"items":[)" + items + R"(],"has-more":false,"at":)" + std::to_string(m_rev) + "}");
    }
    std::string watch(std::unique_lock<std::mutex> &lock, Gate &gate, const std::string &kind, std::uint64_t since, long waitMs)
    {
        const auto deadline = Clock::now() + Ms(waitMs);
        std::string events;
        for (;;) {
            for (const Event &it : m_events) {
                if (it.rev > since && it.kind == kind) {
                    events += (events.empty() ? "" : ",") + it.text;
                }
            }
            if (!events.empty() || gate.isCut || m_changed.wait_until(lock, deadline) == std::cv_status::timeout) {
                break;
            }
        }
        return response(
            200, "Content-Type: application/json\r\n", R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_rev) + "}");
    }

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_rev = 100;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::vector<std::unique_ptr<Gate>> m_gates;
};

//---------------------------------------------------------------------------------------------------------------------------------
// Servers
//---------------------------------------------------------------------------------------------------------------------------------

struct Run
{
    double at = 0;
    std::string id;
    std::string tenant;
    std::string server;
};

/// A sound server: registers itself, writes every heartbeat, runs each request for some milliseconds.
class Server
{
public:
    Server(Store &store, Record &record, std::string id, std::string service, std::string zone, int workMs, int longWorkMs = 0, int slots = 64)
        : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)), m_workMs(workMs),
          m_slots(slots), m_longWorkMs(longWorkMs == 0 ? workMs : longWorkMs),
          m_born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count()),
          m_listener(Address{"127.0.0.1", 0}, [this](Connection &it) { serve(it); })
    {
        m_beats = std::thread([this] {
            while (!m_isStopping) {
                beat();
                for (int i = 0; i < 15 && !m_isStopping; ++i) {
                    sleepMs(100);
                }
            }
        });
    }
    ~Server()
    {
        m_isStopping = true;
        m_beats.join();
        m_listener.stop();
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    void drain() // reports that it leaves, and goes on serving
    {
        m_isDraining = true;
        beat();
    }

private:
    void beat()
    {
        const std::lock_guard lock(m_beatMutex);
        std::ostringstream spec;
        spec << R"({"service":")" << m_service << R"(","address":")" << m_listener.address().text() << R"(","zone":")" << m_zone
             << R"(","version":"v1","slots":)" << m_slots << R"(,"state":")" << (m_isDraining ? "draining" : "ready")
             << R"(","warmup-left-ms":0,"born":)" << m_born << R"(,"sequence":)" << ++m_sequence
             << "}";
        m_store.put("servers", m_id, spec.str());
    }
    void serve(Connection &connection)
    {
        for (Message request; readMessage(connection, request, 10000);) {
            const std::string id = request.header("x-request-id");
            if (request.target() == "/health") {
                connection.send(response(200, "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            if (const std::string wanted = request.header("x-target-instance"); !wanted.empty() && wanted != m_id) {
                connection.send(response(421, "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({nowS(), id, request.header("x-tenant"), m_id});
            }
            m_record.line("run " + id + " at " + m_id + " for " + request.header("x-tenant"));
            sleepMs(request.target().ends_with("/long") ? m_longWorkMs : m_workMs);
            connection.send(response(200, "X-Request-Id: " + id + "\r\nX-Response-Signature: s." + id + "\r\n", "done " + id));
        }
    }

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_workMs;
    int m_slots;
    int m_longWorkMs; // of requests whose path ends with /long
    long long m_born;
    std::mutex m_beatMutex;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isDraining{false};
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<bool> m_isStopping{false};
    Listener m_listener;
    std::thread m_beats;
};

//---------------------------------------------------------------------------------------------------------------------------------
// The platform: starts the daemon with the command and the template of the deploy file
//---------------------------------------------------------------------------------------------------------------------------------

class Machine
{
public:
    Machine(std::string name, std::string zone, std::string ip, const Address &store, const std::string &folder)
        : m_name(std::move(name)), m_ip(std::move(ip)), m_folder(folder)
    {
        front = {m_ip, freePort(m_ip)};
        ready = {m_ip, freePort(m_ip)};
        directory = {m_ip, freePort(m_ip)};
        peers = {m_ip, freePort(m_ip, SOCK_DGRAM)};
        std::ifstream file("deploy/pollenspoked.yaml.template");
        std::stringstream text;
        text << file.rdbuf();
        std::string settings = text.str();
        const std::map<std::string, std::string> values{{"node", m_name},
                                                        {"zone", zone},
                                                        {"ip", m_ip},
                                                        {"listen.front", front.text()},
                                                        {"listen.ready", ready.text()},
                                                        {"listen.directory", directory.text()},
                                                        {"internal-ports.0", std::to_string(peers.port)},
                                                        {"platform.address", store.text()},
                                                        {"limits.memory-mb", "260"},
                                                        {"limits.cpu-share", "0.2"},
                                                        {"limits.cpu-cores", "1"},
                                                        {"bounds.retry-budget-ratio", "0.2"},
                                                        {"bounds.budget-slack", "60"},
                                                        {"bounds.budget-window-s", "10"},
                                                        {"bounds.grace-s", "6"}};
        for (const auto &[key, value] : values) {
            const std::string placeholder = "{{" + key + "}}";
            for (auto at = settings.find(placeholder); at != std::string::npos; at = settings.find(placeholder)) {
                settings.replace(at, placeholder.size(), value);
            }
        }
        m_settingsFile = m_folder + "/" + m_name + ".yaml";
        std::ofstream(m_settingsFile) << settings;
    }
    ~Machine() { stop(SIGKILL); }
    /// Its output goes to a pipe that the platform reads, from the next start on. Returns the reading end.
    int openOutputPipe()
    {
        int ends[2];
        if (::pipe(ends) != 0) {
            std::exit(2);
        }
        m_output = ends[1];
        return ends[0];
    }
    void start()
    {
        const std::string log = m_folder + "/" + m_name + ".log";
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives the script
            if (::getppid() != parent) {
                ::_exit(127);
            }
            const int fd = m_output >= 0 ? m_output : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            for (int i = 3; i < 1024; ++i) {
                ::close(i);
            }
            const std::string setting = "POLLENSPOKE_CONFIG=" + m_settingsFile;
            const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
            char *arguments[] = {const_cast<char *>("target/bin/pollenspoked"), nullptr};
            char *environment[] = {const_cast<char *>(setting.c_str()), const_cast<char *>(path.c_str()), nullptr};
            ::execve(arguments[0], arguments, environment);
            ::_exit(127);
        }
    }
    void signal(int number) const { ::kill(m_pid, number); }
    int stop(int number)
    {
        if (m_pid <= 0) {
            return 0;
        }
        ::kill(m_pid, number);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = -1;
        return status;
    }
    bool hasEnded() // by itself
    {
        int status = 0;
        return m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid && (m_pid = -1) == -1;
    }
    bool isReady() const
    {
        Connection connection;
        Message answer;
        return connection.connect(ready, 500) && connection.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && readMessage(connection, answer, 500) && answer.status() == 200;
    }
    bool waitReady(int timeoutMs) const
    {
        const auto deadline = Clock::now() + Ms(timeoutMs);
        while (Clock::now() < deadline) {
            if (isReady()) {
                return true;
            }
            sleepMs(20);
        }
        return false;
    }
    const std::string &name() const { return m_name; }
    pid_t pid() const { return m_pid; }

    Address front;
    Address ready;
    Address directory;
    Address peers;

private:
    std::string m_name;
    std::string m_ip;
    std::string m_folder;
    std::string m_settingsFile;
    pid_t m_pid = -1;
    int m_output = -1;
};

/// Where to connect, as a client asks it.
inline std::vector<Address> resolve(const Address &directory, const std::string &zone)
{
    Connection connection;
    Message answer;
    std::vector<Address> addresses;
    if (!connection.connect(directory, 1000)
        || !connection.send("GET /api/resolve?name=shop.example&region=r&zone=" + zone
                            + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        || !readMessage(connection, answer, 1000) || answer.status() != 200) {
        return addresses;
    }
    const auto begin = answer.body.find('[');
    std::istringstream list(answer.body.substr(begin + 1, answer.body.find(']') - begin - 1));
    for (std::string it; std::getline(list, it, ',');) {
        addresses.push_back(Address::parse(it.substr(1, it.size() - 2)));
    }
    return addresses;
}

/// A folder for settings and logs, removed at the end.
class Folder
{
public:
    Folder()
    {
        m_path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(m_path.data()) == nullptr) {
            std::exit(2);
        }
    }
    ~Folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        } else {
            std::printf("kept: %s\n", m_path.c_str());
        }
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace standins
