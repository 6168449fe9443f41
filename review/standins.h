/// @file
/// Stand-ins for the review cases: clients, servers and the platform's store on loopback sockets, and the daemon as a process.
/// POSIX only; a thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum ExitCode { RuleHeld = 0, RuleBroken = 1, CannotRun = 2 };

/// Thrown if the case can't run; main() turns it into CannotRun.
struct SetUpFailure : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Writes record.txt: one line for each event, with the time since the start in ms.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%7lld ", static_cast<long long>(sinceStart()));
        m_file << stamp << line << std::endl;
    }

    std::int64_t sinceStart() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count(); }

private:
    std::ofstream m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

//-----------------------------------------------------------------------------
// Sockets and HTTP/1.1
//-----------------------------------------------------------------------------

class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {
    }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~Socket()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }

    bool send(const std::string &bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

private:
    int m_fd = -1;
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/// A port that is free for TCP and UDP, and outside of the range from which the system takes ports of outgoing connections.
inline std::uint16_t freePort()
{
    constexpr std::uint16_t lowest = 15000;
    constexpr std::uint16_t count = 17000;
    static std::mutex mutex;
    static auto next = static_cast<std::uint16_t>(::getpid() * 1021 % count);
    const std::lock_guard lock(mutex);
    for (int i = 0; i < count; ++i) {
        next = static_cast<std::uint16_t>((next + 1) % count);
        const std::uint16_t port = lowest + next;
        const sockaddr_in address = loopback(port);
        const auto isFree = [&address](int type) {
            const Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
            return ::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        };
        if (isFree(SOCK_STREAM) && isFree(SOCK_DGRAM)) {
            return port;
        }
    }
    throw SetUpFailure("no free port");
}

inline Socket connectTo(std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = loopback(port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return {};
    }
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

/// A request or response. Header names are in lower case.
struct Message
{
    std::string start; // request or status line
    std::map<std::string, std::string> headers;
    std::string body;

    std::string word(int index) const
    {
        std::istringstream words(start);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    int status() const { return std::atoi(word(1).c_str()); }
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

/// Reads the messages of one connection. Bodies have a length or are chunked.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /// Returns nothing if the connection ends, is reset or stays silent until the deadline.
    std::optional<Message> read(Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        Message message = parseHead(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        if (message.header("transfer-encoding") == "chunked") {
            return readChunks(message, deadline) ? std::optional(message) : std::nullopt;
        }
        const std::size_t length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return message;
    }

private:
    static Message parseHead(const std::string &head)
    {
        Message message;
        std::istringstream lines(head);
        std::string line;
        std::getline(lines, message.start);
        while (std::getline(lines, line)) {
            while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char &it : name) {
                it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
            }
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
        }
        return message;
    }

    bool readChunks(Message &message, Clock::time_point deadline)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const std::size_t length = std::strtoull(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < end + 2 + length + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            message.body += m_bytes.substr(end + 2, length);
            m_bytes.erase(0, end + 2 + length + 2);
            if (length == 0) {
                return true;
            }
        }
    }

    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd entry{.fd = m_fd, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char buffer[65536];
        const ssize_t n = ::recv(m_fd, buffer, sizeof(buffer), 0);
        if (n <= 0) {
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_bytes;
};

inline std::string response(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free port. The handler serves one connection; its socket is closed after that.
class Listener
{
public:
    using Handler = std::function<void(const Socket &)>;

    explicit Listener(Handler handler)
        : m_handler(std::move(handler))
        , m_port(freePort())
        , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        ::setsockopt(m_socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = loopback(m_port);
        if (::bind(m_socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_socket.fd(), 512) != 0) {
            throw SetUpFailure("can't listen");
        }
        std::thread([this] { acceptLoop(); }).detach(); // ends with the process
    }

    std::uint16_t port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void acceptLoop()
    {
        for (;;) {
            const int fd = ::accept4(m_socket.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepFor(milliseconds(10));
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, fd] {
                const Socket socket(fd);
                m_handler(socket);
            }).detach();
        }
    }

    Handler m_handler;
    std::uint16_t m_port;
    Socket m_socket;
};

//-----------------------------------------------------------------------------
// The platform's store
//-----------------------------------------------------------------------------

/// Objects by kind and name with revisions, lists and watches. Specs are kept and returned as the bytes that were written.
class Store
{
public:
    Store()
        : m_listener([this](const Socket &socket) { serve(socket, nullptr); })
    {
    }

    std::string address() const { return m_listener.address(); }

    /// An address for one machine only. While `isTurnedAway` is set, its calls get 503 and its waiting watches are cut off.
    std::string addressFor(const std::atomic<bool> &isTurnedAway)
    {
        m_ownListeners.push_back(std::make_unique<Listener>([this, &isTurnedAway](const Socket &socket) { serve(socket, &isTurnedAway); }));
        return m_ownListeners.back()->address();
    }

    void wakeWatches() { m_changed.notify_all(); } // after a machine was turned away

    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        return write(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

    /// The names of a kind's objects, in the order in which they were created.
    std::vector<std::string> namesByAge(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::uint64_t, std::string> names;
        for (const auto &[name, it] : m_objects[kind]) {
            names.emplace(it.created, name);
        }
        std::vector<std::string> sorted;
        for (const auto &[created, name] : names) {
            sorted.push_back(name);
        }
        return sorted;
    }

    std::size_t reads() const { return m_reads; }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string event;
    };

    static std::string encode(const std::string &name, const Object &object)
    {
        return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(object.revision) + R"(,"created":)"
            + std::to_string(object.created) + R"(,"finalizers":[],"deletion-pending":false},"spec":)" + object.spec + R"(,"status":null})";
    }

    std::uint64_t write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.spec == spec) {
            return object.revision; // a write that changes nothing gives no event
        }
        object.revision = ++m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        object.spec = spec;
        m_history.push_back({m_revision, kind, R"({"deleted":false,"object":)" + encode(name, object) + "}"});
        m_changed.notify_all();
        return m_revision;
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) {
            return;
        }
        Object removed = it->second;
        removed.revision = ++m_revision;
        m_objects[kind].erase(it);
        m_history.push_back({m_revision, kind, R"({"deleted":true,"object":)" + encode(name, removed) + "}"});
        m_changed.notify_all();
    }

    void serve(const Socket &socket, const std::atomic<bool> *isTurnedAway)
    {
        Reader reader(socket.fd());
        while (const std::optional<Message> request = reader.read(Clock::now() + std::chrono::seconds(60))) {
            std::string bytes = isTurnedAway != nullptr && *isTurnedAway ? std::string() : answer(*request, isTurnedAway);
            if (isTurnedAway != nullptr && *isTurnedAway) {
                bytes = reply("503 Service Unavailable", "{}");
            }
            if (!socket.send(bytes) || request->header("connection") == "close") {
                return;
            }
        }
    }

    static std::optional<std::uint64_t> parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? std::nullopt : std::optional(std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10));
    }

    static std::string reply(const std::string &status, const std::string &body)
    {
        return response(status, "Content-Type: application/json\r\n", body);
    }

    std::string answer(const Message &request, const std::atomic<bool> *isCut)
    {
        static const std::string prefix = "/api/objects/";
        const std::string target = request.word(1);
        if (target.rfind(prefix, 0) != 0) {
            return reply("404 Not Found", "{}");
        }
        const std::string path = target.substr(prefix.size(), target.find('?') - prefix.size());
        const std::string kind = path.substr(0, path.find('/'));
        const std::string name = path.find('/') == std::string::npos ? std::string() : path.substr(path.find('/') + 1);
        if (request.word(0) != "GET") {
            return change(request, kind, name);
        }
        ++m_reads;
        if (const auto since = parameter(target, "watch")) {
            return watch(kind, *since, milliseconds(parameter(target, "wait-ms").value_or(0)), isCut);
        }
        return list(kind);
    }

    std::string list(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        std::string items;
        for (const auto &[name, it] : m_objects[kind]) {
            items += (items.empty() ? "" : ",") + encode(name, it);
        }
        return reply("200 OK", R"({"items":[)" + items + R"(],"has-more":false,"at":)" + std::to_string(m_revision) + "}");
    }

    std::string watch(const std::string &kind, std::uint64_t since, milliseconds wait, const std::atomic<bool> *isCut)
    {
        std::unique_lock lock(m_mutex);
        std::string events;
        const auto collect = [&] {
            events.clear();
            for (const Change &it : m_history) {
                if (it.kind == kind && it.revision > since) {
                    events += (events.empty() ? "" : ",") + it.event;
                }
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, wait, [&] { return collect() || (isCut != nullptr && *isCut); });
        return reply("200 OK", R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}");
    }

    // The text of a member's value in a JSON object that the daemon wrote.
    static std::string member(const std::string &text, const std::string &name)
    {
        const std::size_t key = text.find("\"" + name + "\":");
        if (key == std::string::npos) {
            return {};
        }
        const std::size_t start = key + name.size() + 3;
        int depth = 0;
        bool isInString = false;
        for (std::size_t i = start; i < text.size(); ++i) {
            const char it = text[i];
            if (isInString) {
                i += it == '\\' ? 1 : 0;
                isInString = it != '"';
            } else if (it == '"') {
                isInString = true;
            } else if (it == '{' || it == '[') {
                ++depth;
            } else if (depth == 0 && (it == ',' || it == '}')) {
                return text.substr(start, i - start);
            } else if (it == '}' || it == ']') {
                --depth;
            }
        }
        return {};
    }

    std::string change(const Message &request, const std::string &kind, const std::string &pathName)
    {
        const std::lock_guard lock(m_mutex);
        auto &objects = m_objects[kind];
        if (request.word(0) == "DELETE") {
            const auto expected = parameter(request.word(1), "rev");
            if (!objects.contains(pathName)) {
                return reply("404 Not Found", "{}");
            }
            if (expected && *expected != objects.at(pathName).revision) {
                return reply("409 Conflict", encode(pathName, objects.at(pathName)));
            }
            erase(kind, pathName);
            return reply("200 OK", "{}");
        }
        const std::string metadata = member(request.body, "metadata");
        const std::string quoted = member(metadata, "name");
        const std::string name = quoted.size() < 2 ? pathName : quoted.substr(1, quoted.size() - 2);
        const std::string expected = member(metadata, "rev");
        const bool isCreation = request.word(0) == "POST";
        if (isCreation == objects.contains(name)) {
            return isCreation ? reply("409 Conflict", encode(name, objects.at(name))) : reply("404 Not Found", "{}");
        }
        if (!isCreation && !expected.empty() && std::strtoull(expected.c_str(), nullptr, 10) != objects.at(name).revision) {
            return reply("409 Conflict", encode(name, objects.at(name)));
        }
        write(kind, name, member(request.body, "spec"));
        return reply("200 OK", encode(name, objects.at(name)));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    std::atomic<std::size_t> m_reads{0};
    Listener m_listener;
    std::vector<std::unique_ptr<Listener>> m_ownListeners;
};

//-----------------------------------------------------------------------------
// Servers
//-----------------------------------------------------------------------------

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// A server of one service. `work` returns the bytes of the response; an empty string closes the connection.
class Server
{
public:
    using Work = std::function<std::string(const Message &)>;

    Server(std::string id, std::string service, Work work)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_born(unixMs())
        , m_work(std::move(work))
        , m_listener([this](const Socket &socket) { serve(socket); })
    {
    }

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }

    std::string entry(const std::string &state) const
    {
        return R"({"service":")" + m_service + R"(","address":")" + m_listener.address()
            + R"(","zone":"zone-a","version":"v1","slots":64,"state":")" + state + R"(","warmup-left-ms":0,"sequence":)"
            + (state == "ready" ? "1" : "2") + R"(,"born":)" + std::to_string(m_born) + "}";
    }

private:
    void serve(const Socket &socket)
    {
        Reader reader(socket.fd());
        while (const std::optional<Message> request = reader.read(Clock::now() + std::chrono::seconds(100))) {
            const std::string instance = request->header("x-target-instance");
            const bool isMisdirected = !instance.empty() && instance != m_id;
            const std::string answer
                = isMisdirected ? response("421 Misdirected Request", "X-Instance-Id: " + m_id + "\r\n", "") : m_work(*request);
            if (answer.empty() || !socket.send(answer)) {
                return;
            }
        }
    }

    std::string m_id;
    std::string m_service;
    std::int64_t m_born;
    Work m_work;
    Listener m_listener;
};

/// The headers with which a server answers a request.
inline std::string answerHeaders(const Message &request)
{
    return "X-Request-Id: " + request.header("x-request-id") + "\r\nX-Response-Signature: 3e1b.07\r\n";
}

//-----------------------------------------------------------------------------
// The daemon
//-----------------------------------------------------------------------------

struct MachineOptions
{
    std::string name;
    std::string store; // address
    std::string zone = "zone-a";
    std::string cpuShare = "0.2";
};

/// One machine of the system: the daemon with settings as the template of the deploy file gives them.
class Machine
{
public:
    Machine(MachineOptions options, std::string folder)
        : m_options(std::move(options))
        , m_folder(std::move(folder))
        , m_front(freePort())
        , m_ready(freePort())
        , m_directory(freePort())
        , m_metrics(freePort())
        , m_peers(freePort())
    {
        writeSettings();
        start();
    }
    ~Machine() { stop(SIGKILL); }
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    std::uint16_t front() const { return m_front; }
    const std::string &name() const { return m_options.name; }
    const std::string &zone() const { return m_options.zone; }

    void start()
    {
        const std::string program = programPath();
        const std::string settings = "POLLENSPOKE_CONFIG=" + m_folder + "/" + m_options.name + ".yaml";
        const std::string log = m_folder + "/" + m_options.name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, STDOUT_FILENO);
            ::dup2(fd, STDERR_FILENO);
            const char *arguments[] = {program.c_str(), nullptr};
            const char *environment[] = {settings.c_str(), nullptr};
            ::execve(program.c_str(), const_cast<char **>(arguments), const_cast<char **>(environment));
            ::_exit(127);
        }
    }

    void signal(int number) const { ::kill(m_pid, number); }

    /// Sends the signal and waits for the end. Returns the status as waitpid() gives it.
    int stop(int number)
    {
        int status = 0;
        if (m_pid > 0) {
            ::kill(m_pid, number);
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
        return status;
    }

    /// Whether the process is running; reaps it if it has ended.
    bool isRunning(int *status = nullptr)
    {
        int ended = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &ended, WNOHANG) == m_pid) {
            m_pid = -1;
            if (status != nullptr) {
                *status = ended;
            }
        }
        return m_pid > 0;
    }

    bool isReady() const
    {
        const Socket socket = connectTo(m_ready);
        if (!socket.isOpen() || !socket.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        Reader reader(socket.fd());
        const std::optional<Message> answer = reader.read(Clock::now() + milliseconds(500));
        return answer && answer->status() == 200;
    }

    bool waitUntilReady(milliseconds limit) const
    {
        const Clock::time_point deadline = Clock::now() + limit;
        while (Clock::now() < deadline) {
            if (isReady()) {
                return true;
            }
            sleepFor(milliseconds(50));
        }
        return false;
    }

    /// Memory that the process has allocated and touched; the platform charges more, such as bytes that wait in sockets.
    std::size_t anonymousKb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind("RssAnon:", 0) == 0) {
                return std::strtoull(line.c_str() + 8, nullptr, 10);
            }
        }
        return 0;
    }

private:
    static std::string programPath()
    {
        for (const char *it : {"target/bin/pollenspoked", "build-review/bin/pollenspoked"}) {
            if (::access(it, X_OK) == 0) {
                return it;
            }
        }
        throw SetUpFailure("build the daemon first: review/build.sh");
    }

    void writeSettings() const
    {
        const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream file(m_folder + "/" + m_options.name + ".yaml");
        file << "vm: { name: \"" << m_options.name << "\", failure_domain: \"" << m_options.zone << "\" }\n"
             << "listen:\n"
             << "  callers: " << address(m_front) << "  readiness: " << address(m_ready) << "  addresses: " << address(m_directory)
             << "  metrics: " << address(m_metrics) << "  peers: " << address(m_peers) << "platform: { kind: shared, store: \""
             << m_options.store << "\" }\n"
             << "log: { level: info, format: json }\n"
                "workers: 1\n"
                "front:\n"
                "  header_bytes: 65536\n"
                "  body_bytes: 67108864\n"
                "  max_connections: 2000\n"
                "dispatch:\n"
                "  connect_timeout_ms: 100\n"
                "  whole_answer_bytes: 1048576\n"
                "  pooled_idle_ms: 8000\n"
                "  target_queue: 0\n"
                "  patience_factor: 3\n"
                "  retry_ratio: 0.2\n"
                "  retry_reserve: 56\n"
                "  retry_window_ms: 10000\n"
                "fleet:\n"
                "  cpu_share: "
             << m_options.cpuShare
             << "\n"
                "  cpu_speed: 1\n"
                "  address_ttl_ms: 2000\n"
                "  grace_ms: 6000\n"
                "  watch_wait_ms: 1500\n";
    }

    MachineOptions m_options;
    std::string m_folder;
    std::uint16_t m_front;
    std::uint16_t m_ready;
    std::uint16_t m_directory;
    std::uint16_t m_metrics;
    std::uint16_t m_peers;
    pid_t m_pid = -1;
};

/// A machine whose calls the store can turn away.
struct Node
{
    std::atomic<bool> &isTurnedAway = *new std::atomic<bool>(false); // never deleted: the store's threads read it
    std::unique_ptr<Machine> machine;
};

/// Starts machines at the same time, dealt over the zones in turn, and waits until all are ready.
inline std::vector<Node> startNodes(Store &store, int count, int zoneCount, const std::string &cpuShare, const std::string &folder)
{
    std::vector<Node> nodes(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        Node &node = nodes[static_cast<std::size_t>(i)];
        node.machine = std::make_unique<Machine>(MachineOptions{.name = "edge-" + std::to_string(10 + i),
                                                                .store = store.addressFor(node.isTurnedAway),
                                                                .zone = std::string("zone-") + static_cast<char>('a' + i % zoneCount),
                                                                .cpuShare = cpuShare},
                                                 folder);
    }
    for (const Node &it : nodes) {
        if (!it.machine->waitUntilReady(milliseconds(20000))) {
            throw SetUpFailure(it.machine->name() + " isn't ready");
        }
    }
    return nodes;
}

/// Moves the machines that hold seats to the front: of each zone the two that registered first.
inline void putSeatHoldersFirst(Store &store, std::vector<Node> &nodes)
{
    constexpr int seatsPerZone = 2;
    std::map<std::string, int> seats;
    std::set<std::string> holders;
    for (const std::string &name : store.namesByAge("pollenspoke-vms")) {
        const auto it = std::find_if(nodes.begin(), nodes.end(), [&name](const Node &node) { return node.machine->name() == name; });
        if (it != nodes.end() && ++seats[it->machine->zone()] <= seatsPerZone) {
            holders.insert(name);
        }
    }
    std::vector<Node> sorted;
    for (const bool holdsSeat : {true, false}) {
        for (Node &it : nodes) {
            if (it.machine && holders.contains(it.machine->name()) == holdsSeat) {
                sorted.push_back({it.isTurnedAway, std::move(it.machine)});
            }
        }
    }
    nodes = std::move(sorted);
}

/// A temporary folder for settings and logs, removed at the end unless KEEP is set.
class ScratchFolder
{
public:
    ScratchFolder()
    {
        m_path = (std::filesystem::temp_directory_path() / "pollenspoke-review-XXXXXX").string();
        if (::mkdtemp(m_path.data()) == nullptr) {
            throw SetUpFailure("no temporary folder");
        }
    }
    ~ScratchFolder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

inline const std::string clientKey = "ctnfzs989anu6wsjnban";
inline const std::string tenant = "sese880";

inline std::string newRequestId()
{
    static std::atomic<std::uint64_t> last{0};
    char text[24];
    std::snprintf(text, sizeof(text), "%08llx%08x", static_cast<unsigned long long>(++last), static_cast<unsigned>(::getpid()));
    return text;
}

struct ClientRequest
{
    std::string method = "GET";
    std::string path = "/read/x";
    std::string body = {};
    int deadlineMs = 4000;
    std::string id = newRequestId();

    std::string head(std::size_t bodyBytes) const
    {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Bearer " + clientKey
            + (bodyBytes == 0 ? std::string() : "\r\nContent-Length: " + std::to_string(bodyBytes)) + "\r\n\r\n";
    }
    std::string bytes() const { return head(body.size()) + body; }
};

/// The answer on a connection of its own; nothing if the connection ended without one.
inline std::optional<Message> call(std::uint16_t front, const ClientRequest &request)
{
    const Socket socket = connectTo(front);
    if (!socket.isOpen() || !socket.send(request.bytes())) {
        return std::nullopt;
    }
    Reader reader(socket.fd());
    return reader.read(Clock::now() + milliseconds(request.deadlineMs + 1000));
}

inline std::string describe(const std::optional<Message> &answer)
{
    return answer ? std::to_string(answer->status()) : "closed without an answer";
}

/// A configuration with two routes of host shop.example: /read/ (safe) to the service `reads` or the given one, /order/ (unsafe) to
/// `orders`.
inline std::string
configuration(const std::string &version = "00000007", const std::string &readService = "reads", double ratePerSecond = 0, double burst = 0)
{
    const std::string limits = R"({"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000})";
    const auto rule = [](const std::string &name, const std::string &type, const std::string &service, int timeoutMs) {
        return R"({"name":"r-)" + name + R"(","route-type":")" + type
            + R"(","target-latency-ms":2000,"priority":1,"anonymous":false,"match":{"path-prefix":"/)" + name
            + R"(/"},"action":{"service":")" + service + R"(","timeout-ms":)" + std::to_string(timeoutMs) + R"(,"max-attempts":2}})";
    };
    const auto cluster = [](const std::string &name) {
        return R"({"name":")" + name + R"(","health-path":"/health","max-connections":330,"protocol":"h1","tls":false})";
    };
    return R"({"version":")" + version + R"(","limits":)" + limits + R"(,"tenants":[{"name":")" + tenant + R"(","api-keys":[")" + clientKey
        + R"("],"priority":1,"rate-per-s":)" + std::to_string(ratePerSecond) + R"(,"burst":)" + std::to_string(burst)
        + R"(}],"listeners":[{"hostname":"shop.example","rules":[)" + rule("read", "safe", readService, 4000) + ","
        + rule("order", "unsafe", "orders", 12000) + R"(]}],"clusters":[)" + cluster("reads") + "," + cluster("orders") + "]}";
}

/// Plays a case. The only argument of the program is the path of the record. The exit status is that of run.sh.
inline int runCase(int argc, char **argv, const std::function<ExitCode(Record &)> &play)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { ::_exit(CannotRun); }); // ends the daemons, too: they get SIGKILL when their parent ends
    ::alarm(115);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return CannotRun;
    }
    Record record(argv[1]);
    try {
        const ExitCode code = play(record);
        record.add(code == RuleBroken ? "result: the rule was broken" : "result: the rule held");
        std::fflush(nullptr);
        return code;
    } catch (const SetUpFailure &failure) {
        record.add(std::string("result: the case couldn't run: ") + failure.what());
        return CannotRun;
    }
}

} // namespace Review
