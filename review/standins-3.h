/// @file
/// Stand-ins for the scripts of the third review: the platform's store, servers, clients and the VMs as processes. All of them use loopback
/// addresses and the real clock. A case is one program that includes this header.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/json/src.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

namespace json = boost::json;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Ms = std::chrono::milliseconds;

enum ExitCode { Held = 0, Broken = 1, NotRun = 2 };

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &fileName)
        : m_file(fileName)
        , m_startedAt(SteadyClock::now())
    {
    }
    double seconds(TimePoint time = SteadyClock::now()) const { return std::chrono::duration<double>(time - m_startedAt).count(); }
    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_startedAt;
};

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline void sleepFor(Ms time)
{
    std::this_thread::sleep_for(time);
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

//-----------------------------------------------------------------------------
// Sockets and HTTP
//-----------------------------------------------------------------------------

inline sockaddr_in makeAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Descriptors aren't inherited by the processes that a case starts.
inline int openListener(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = makeAddress(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t n = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
    return ntohs(address.sin_port);
}

/// A port that is free for TCP and UDP on all the addresses, below the range from which the system takes ports of its own choice.
inline int findFreePort(const std::vector<std::string> &ips)
{
    std::mt19937 generator{std::random_device{}()};
    for (int i = 0; i < 1000; ++i) {
        const int port = std::uniform_int_distribution<int>(12000, 31000)(generator);
        const bool isFree = std::all_of(ips.begin(), ips.end(), [port](const std::string &ip) {
            bool isBound = true;
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address = makeAddress(ip, port);
                isBound = isBound && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(fd);
            }
            return isBound;
        });
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

struct HttpMessage
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string word(int n) const // of the start line
    {
        std::istringstream in(startLine);
        std::string text;
        for (int i = 0; i <= n; ++i) {
            in >> text;
        }
        return text;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

enum class ReadEnd {
    Whole,
    Closed, // or reset
    TimedOut,
};

/// A connected socket. Reads wait until a point in time.
class Stream
{
public:
    explicit Stream(int fd = -1)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Stream(Stream &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Stream &operator=(Stream &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        std::swap(m_buffer, other.m_buffer);
        return *this;
    }
    ~Stream() { close(); }

    static Stream connect(const std::string &ip, int port, Ms timeout)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = makeAddress(ip, port);
        int error = ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 ? 0 : errno;
        if (error == EINPROGRESS) {
            pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
            socklen_t n = sizeof(error);
            error = ETIMEDOUT;
            if (::poll(&entry, 1, static_cast<int>(timeout.count())) == 1) {
                ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
            }
        }
        if (error != 0) {
            ::close(fd);
            return Stream();
        }
        ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        return Stream(fd);
    }

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    void reset()
    {
        const linger option{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads a message with a length or without a body.
    ReadEnd read(HttpMessage &message, TimePoint until)
    {
        std::size_t headEnd = 0;
        while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (const ReadEnd end = readMore(until); end != ReadEnd::Whole) {
                return end;
            }
        }
        std::istringstream in(m_buffer.substr(0, headEnd));
        m_buffer.erase(0, headEnd + 4);
        std::string line;
        message = {};
        while (std::getline(in, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (message.startLine.empty()) {
                message.startLine = line;
            } else if (colon != std::string::npos) {
                const std::size_t begin = line.find_first_not_of(' ', colon + 1);
                message.fields.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
            }
        }
        const std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (const ReadEnd end = readMore(until); end != ReadEnd::Whole) {
                message.body = m_buffer;
                return end;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return ReadEnd::Whole;
    }

    /// Whether the other side has closed the connection or sends something that nobody asked for.
    bool hasEnded() const
    {
        pollfd entry{.fd = m_fd, .events = POLLIN, .revents = 0};
        return ::poll(&entry, 1, 0) == 1;
    }

private:
    ReadEnd readMore(TimePoint until)
    {
        const auto left = std::chrono::ceil<Ms>(until - SteadyClock::now()).count();
        pollfd entry{.fd = m_fd, .events = POLLIN, .revents = 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1) {
            return ReadEnd::TimedOut;
        }
        char part[65536];
        const ssize_t n = ::recv(m_fd, part, sizeof(part), 0);
        if (n <= 0) {
            return ReadEnd::Closed;
        }
        m_buffer.append(part, static_cast<std::size_t>(n));
        return ReadEnd::Whole;
    }

    int m_fd = -1;
    std::string m_buffer;
};

/// Accepts connections and gives each of them a thread of its own. The threads end with the process.
inline void acceptInBackground(int listener, std::function<void(Stream)> serve)
{
    std::thread([listener, serve = std::move(serve)] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && (errno == EBADF || errno == EINVAL)) {
                return;
            }
            if (fd >= 0) {
                std::thread([fd, serve] { serve(Stream(fd)); }).detach();
            }
        }
    }).detach();
}

inline std::string makeResponse(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n"
        + body;
}

//-----------------------------------------------------------------------------
// The platform's store
//-----------------------------------------------------------------------------

/// Objects by kind and name, with lists, watches and conditional writes as the users' pages describe them.
class Store
{
public:
    Store()
    {
        m_listener = openListener("127.0.0.1", 0);
        acceptInBackground(m_listener, [this](Stream stream) { serve(std::move(stream)); });
    }
    int port() const { return portOf(m_listener); }

    /// A write of the operator or of a server. Returns its revision.
    std::uint64_t put(const std::string &kind, const std::string &name, json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        return putLocked(kind, name, std::move(spec));
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        removeLocked(kind, name);
    }
    std::size_t count(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_kinds[kind].size();
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json::value spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json::object value;
    };

    static json::object format(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"rev", object.revision},
                  {"created", object.created},
                  {"finalizers", json::array()},
                  {"deletion-pending", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }
    std::uint64_t putLocked(const std::string &kind, const std::string &name, json::value spec)
    {
        Object &object = m_kinds[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return object.revision; // a write that changes nothing
        }
        object.spec = std::move(spec);
        object.revision = ++m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        m_events.push_back({m_revision, kind, {{"deleted", false}, {"object", format(name, object)}}});
        m_changed.notify_all();
        return m_revision;
    }
    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto it = m_kinds[kind].find(name);
        if (it != m_kinds[kind].end()) {
            it->second.revision = ++m_revision;
            m_events.push_back({m_revision, kind, {{"deleted", true}, {"object", format(name, it->second)}}});
            m_kinds[kind].erase(it);
            m_changed.notify_all();
        }
    }

    void serve(Stream stream)
    {
        HttpMessage request;
        while (stream.read(request, SteadyClock::now() + 60s) == ReadEnd::Whole) {
            const auto [status, body] = answer(request);
            const bool isLast = ::strcasecmp(request.field("Connection").c_str(), "close") == 0;
            const std::string fields = std::string("Content-Type: application/json\r\n") + (isLast ? "Connection: close\r\n" : "");
            if (!stream.send(makeResponse(status, json::serialize(body), fields)) || isLast) {
                return;
            }
        }
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::istringstream in(query);
        std::string part;
        while (std::getline(in, part, '&')) {
            if (part.starts_with(name + "=")) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }

    std::pair<int, json::value> answer(const HttpMessage &request)
    {
        const std::string method = request.word(0);
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = target.size() > path.size() ? target.substr(path.size() + 1) : "";
        const std::string prefix = "/api/objects/";
        if (!path.starts_with(prefix)) {
            return {404, json::object()};
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty()) {
            const std::string watch = parameter(query, "watch");
            return watch.empty() ? list(kind)
                                 : waitForEvents(kind, std::stoull(watch), std::stoul("0" + parameter(query, "wait-ms")), lock);
        }
        auto &objects = m_kinds[kind];
        if (method == "GET") {
            return objects.contains(name) ? std::pair<int, json::value>(200, format(name, objects.at(name)))
                                          : std::pair<int, json::value>(404, json::object());
        }
        return write(method, kind, name, request, query);
    }
    std::pair<int, json::value> list(const std::string &kind)
    {
        json::array items;
        for (const auto &[name, object] : m_kinds[kind]) {
            items.push_back(format(name, object));
        }
        return {200, json::object{{"items", items}, {"has-more", false}, {"at", m_revision}}};
    }
    std::pair<int, json::value>
    waitForEvents(const std::string &kind, std::uint64_t since, std::uint64_t waitMs, std::unique_lock<std::mutex> &lock)
    {
        json::array events;
        const auto collect = [&] {
            for (const Event &it : m_events) {
                if (it.revision > since && it.kind == kind) {
                    events.push_back(it.value);
                }
            }
            return !events.empty();
        };
        m_changed.wait_for(lock, Ms(waitMs), collect);
        return {200, json::object{{"events", events}, {"at", m_revision}}};
    }
    std::pair<int, json::value>
    write(const std::string &method, const std::string &kind, std::string name, const HttpMessage &request, const std::string &query)
    {
        auto &objects = m_kinds[kind];
        std::string revision = parameter(query, "rev");
        json::value spec;
        if (method != "DELETE") {
            boost::system::error_code ec;
            const json::value body = json::parse(request.body, ec);
            if (ec || !body.is_object()) {
                return {400, json::object()};
            }
            spec = body.as_object().contains("spec") ? body.at("spec") : json::value();
            if (const json::value *metadata = body.as_object().if_contains("metadata")) {
                name = name.empty() ? std::string(metadata->at("name").as_string()) : name;
                if (const json::value *given = metadata->as_object().if_contains("rev")) {
                    revision = json::serialize(*given);
                }
            }
        }
        const bool exists = objects.contains(name);
        if (method == "POST" && exists) {
            return {409, format(name, objects.at(name))};
        }
        if (method != "POST" && !exists) {
            return {404, json::object()};
        }
        if (exists && !revision.empty() && std::strtod(revision.c_str(), nullptr) != static_cast<double>(objects.at(name).revision)) {
            return {409, format(name, objects.at(name))};
        }
        if (method == "DELETE") {
            removeLocked(kind, name);
            return {200, json::object()};
        }
        putLocked(kind, name, std::move(spec));
        return {200, format(name, objects.at(name))};
    }

    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<Event> m_events;
};

//-----------------------------------------------------------------------------
// Servers
//-----------------------------------------------------------------------------

struct ServerOptions
{
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    int slots = 2;
    Ms work{100};
    bool isRecorded = true; // each run
};

/// A server of a service: it runs requests, signs its answers and registers itself in the store each 1.5 s.
class Server
{
public:
    Server(Store &store, Record &record, ServerOptions options)
        : m_store(store)
        , m_record(record)
        , m_options(std::move(options))
        , m_bornMs(unixMs())
    {
        m_listener = openListener("127.0.0.1", 0);
        m_port = portOf(m_listener);
        acceptInBackground(m_listener, [this](Stream stream) { serve(std::move(stream)); });
        beat();
    }

    const std::string &id() const { return m_options.id; }
    int port() const { return m_port; }
    int runs() const { return m_runs; }

    /// One write of the entry. Returns what was written.
    json::value beat()
    {
        const std::lock_guard lock(m_mutex);
        json::value spec = nextEntry();
        m_store.put("servers", m_options.id, spec);
        return spec;
    }
    /// The same, without writing it: for a write that gets no answer.
    json::value prepareBeat()
    {
        const std::lock_guard lock(m_mutex);
        return nextEntry();
    }
    void setDraining() { m_isDraining = true; }

    /// Ends as a process does: nothing is served any more, and open connections are closed.
    void exit()
    {
        m_hasExited = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    bool hasExited() const { return m_hasExited; }

    std::function<void(const HttpMessage &)> onArrival = [](const HttpMessage &) {};
    std::function<void(const HttpMessage &)> onEnd = [](const HttpMessage &) {}; // its work is done, and the answer is sent next
    std::function<Ms(const HttpMessage &)> workFor;                              // empty: as the options say

private:
    json::value nextEntry()
    {
        return json::object{{"service", m_options.service},
                            {"address", "127.0.0.1:" + std::to_string(m_port)},
                            {"zone", m_options.zone},
                            {"version", "v1"},
                            {"slots", m_options.slots},
                            {"state", m_isDraining ? "draining" : "ready"},
                            {"warmup-left-ms", 0},
                            {"sequence", ++m_sequence},
                            {"born", m_bornMs}};
    }

    void serve(Stream stream)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(stream.fd());
        }
        HttpMessage request;
        while (!m_hasExited && stream.read(request, SteadyClock::now() + 10s) == ReadEnd::Whole && answer(stream, request)) { }
        const std::lock_guard lock(m_mutex);
        m_open.erase(stream.fd());
    }

    bool answer(Stream &stream, const HttpMessage &request)
    {
        const std::string id = request.field("X-Request-Id");
        const std::string fields = "X-Request-Id: " + id + "\r\n" + (m_isDraining ? "Server-Leaving: 1\r\n" : "");
        if (request.field("X-Target-Instance") != m_options.id) {
            return stream.send(makeResponse(421, "", fields + "X-Not-Executed: 1\r\n"));
        }
        onArrival(request);
        {
            const std::lock_guard lock(m_mutex);
            if (m_busy >= m_options.slots + 8) {
                return stream.send(makeResponse(503, "", fields + "X-Not-Executed: 1\r\n"));
            }
            ++m_busy;
        }
        ++m_runs;
        if (m_options.isRecorded) {
            m_record.write("server " + m_options.id + " runs " + id);
        }
        sleepFor(workFor ? workFor(request) : m_options.work);
        onEnd(request);
        {
            const std::lock_guard lock(m_mutex);
            --m_busy;
        }
        if (m_hasExited) {
            return false;
        }
        const std::string body = "answer to " + id + " by " + m_options.id + "\n";
        return stream.send(makeResponse(200, body, fields + "X-Response-Signature: s." + id + "." + m_options.id + "\r\n"));
    }

    Store &m_store;
    Record &m_record;
    ServerOptions m_options;
    std::int64_t m_bornMs = 0;
    int m_listener = -1;
    int m_port = 0;
    std::mutex m_mutex;
    std::set<int> m_open;
    int m_busy = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<int> m_runs{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_hasExited{false};
};

//-----------------------------------------------------------------------------
// VMs
//-----------------------------------------------------------------------------

/// The fields from which the platform fills in the template, by dotted name.
using Fields = std::map<std::string, std::string>;

/// Fills in a template of settings: values and sections, as far as the template of this project uses them.
inline std::string fillIn(const std::string &text, const Fields &fields)
{
    std::string result;
    std::size_t i = 0;
    while (i < text.size()) {
        const std::size_t open = text.find("{{", i);
        if (open == std::string::npos) {
            return result + text.substr(i);
        }
        result += text.substr(i, open - i);
        const std::size_t close = text.find("}}", open);
        std::string name = text.substr(open + 2, close - open - 2);
        i = close + 2;
        if (name.front() == '#') {
            name.erase(0, 1);
            const std::string endTag = "{{/" + name + "}}";
            const std::size_t end = text.find(endTag, i);
            result += fields.contains(name) ? fillIn(text.substr(i, end - i), fields) : "";
            i = end + endTag.size();
        } else {
            result += fields.contains(name) ? fields.at(name) : "";
        }
    }
    return result;
}

/// The second column of a line `key = "value"` of the deploy file.
inline std::string readDeployValue(const std::string &key)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(key + " = \"")) {
            const std::size_t begin = line.find('"') + 1;
            return line.substr(begin, line.find('"', begin) - begin);
        }
    }
    throw std::runtime_error("deploy/system.toml has no " + key);
}

struct FleetPorts
{
    int front = 0;
    int ready = 0;
    int directory = 0;
    int peers = 0;
};

/// One VM: a process with the program, the template and the settings of the deploy file. Its log goes through a pipe to a log reader, which
/// is a process of its own.
class Vm
{
public:
    Vm(std::string name, std::string ip, FleetPorts ports, int storePort, std::string folder, Fields changes = {})
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_ports(ports)
        , m_folder(std::move(folder))
    {
        const auto at = [this](int port) { return m_ip + ":" + std::to_string(port); };
        m_fields = {{"node", m_name},
                    {"zone", "zone-a"},
                    {"ip", m_ip},
                    {"listen.front", at(ports.front)},
                    {"listen.ready", at(ports.ready)},
                    {"listen.directory", at(ports.directory)},
                    {"internal-ports.0", std::to_string(ports.peers)},
                    {"platform.address", "127.0.0.1:" + std::to_string(storePort)},
                    {"contracts", "base,drain,config,cost,retry,recover,health,tenants,quota,platform"},
                    {"limits.cpu-share", "0.2"},
                    {"limits.cpu-cores", "1"},
                    {"limits.memory-mb", "260"},
                    {"limits.max-fds", "4100"},
                    {"limits.bandwidth-mbps", "1000.0"},
                    {"bounds.retry-budget-ratio", "0.2"},
                    {"bounds.budget-slack", "60"},
                    {"bounds.budget-window-s", "10"},
                    {"bounds.grace-s", "6"}};
        for (const auto &[key, value] : changes) {
            m_fields[key] = value;
        }
    }
    ~Vm()
    {
        kill(SIGKILL);
        waitForEnd(5s);
        endReader();
    }
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    void start()
    {
        std::ifstream file(readDeployValue("template"));
        const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        const std::string settings = m_folder + "/" + m_name + ".yaml";
        std::ofstream(settings) << fillIn(text, m_fields);
        startReader();
        const std::string program = readDeployValue("run");
        const std::string variable = "POLLENSPOKE_CONFIG=" + settings;
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            ::dup2(m_logPipe, STDOUT_FILENO);
            ::dup2(m_logPipe, STDERR_FILENO);
            char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        ::close(std::exchange(m_logPipe, -1));
    }

    const std::string &name() const { return m_name; }
    const std::string &ip() const { return m_ip; }
    int frontPort() const { return m_ports.front; }
    pid_t process() const { return m_process; }
    pid_t logReader() const { return m_reader; }

    void kill(int signal) const
    {
        if (m_process > 0) {
            ::kill(m_process, signal);
        }
    }
    bool waitForEnd(Ms timeout)
    {
        const TimePoint until = SteadyClock::now() + timeout;
        while (m_process > 0 && SteadyClock::now() < until) {
            if (::waitpid(m_process, &m_status, WNOHANG) == m_process) {
                m_process = -1;
                return true;
            }
            sleepFor(5ms);
        }
        return m_process <= 0;
    }
    int status() const { return m_status; }

    bool isReady() const
    {
        Stream stream = Stream::connect(m_ip, m_ports.ready, 500ms);
        HttpMessage response;
        return stream.isOpen() && stream.send("GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && stream.read(response, SteadyClock::now() + 500ms) == ReadEnd::Whole && response.status() == 200;
    }
    bool waitUntilReady(Ms timeout) const
    {
        const TimePoint until = SteadyClock::now() + timeout;
        while (SteadyClock::now() < until) {
            if (isReady()) {
                return true;
            }
            sleepFor(50ms);
        }
        return false;
    }

private:
    void startReader()
    {
        endReader();
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) {
            throw std::runtime_error("no pipe");
        }
        const std::string fileName = m_folder + "/" + m_name + ".log";
        m_reader = ::fork();
        if (m_reader == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(fileName.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::close(ends[1]);
            char part[4096];
            for (ssize_t n = 0; (n = ::read(ends[0], part, sizeof(part))) > 0;) {
                if (::write(file, part, static_cast<std::size_t>(n)) < 0) {
                    break;
                }
            }
            ::_exit(0);
        }
        ::close(ends[0]);
        m_logPipe = ends[1];
    }
    void endReader()
    {
        if (m_reader > 0) {
            ::kill(m_reader, SIGKILL);
            ::waitpid(m_reader, nullptr, 0);
            m_reader = -1;
        }
    }

    std::string m_name;
    std::string m_ip;
    FleetPorts m_ports;
    std::string m_folder;
    Fields m_fields;
    pid_t m_process = -1;
    pid_t m_reader = -1;
    int m_logPipe = -1;
    int m_status = 0;
};

/// A temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        const char *base = std::getenv("TMPDIR");
        std::string name = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
        if (::mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        m_name = name;
    }
    ~TemporaryFolder() { remove(); }
    void remove()
    {
        if (m_name.empty()) {
            return;
        }
        if (std::getenv("KEEP") == nullptr) {
            const int ignored = std::system(("rm -rf '" + m_name + "'").c_str());
            static_cast<void>(ignored);
        } else {
            std::cerr << m_name << '\n';
        }
        m_name.clear();
    }
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
};

/// Ends the case. The threads that serve connections still run, so nothing that they use is destroyed.
[[noreturn]] inline void endCase(TemporaryFolder &folder, int code)
{
    folder.remove();
    std::cout.flush();
    std::_Exit(code);
}

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

struct ClientRequest
{
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string key;
    std::string id;
    int deadlineMs = 3000;
    std::string body;
};

struct ClientAnswer
{
    int status = 0; // 0: none
    ReadEnd end = ReadEnd::Closed;
    HttpMessage message;
    TimePoint sentAt;
    TimePoint endedAt;
};

inline std::string makeId()
{
    static std::atomic<std::uint64_t> counter{std::random_device{}()};
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++counter * 0x9E3779B97F4A7C15ULL));
    return text;
}

inline std::string formatRequest(const ClientRequest &request)
{
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host + "\r\nX-Request-Id: " + request.id
        + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\nAuthorization: Bearer " + request.key + "\r\n"
        + (request.body.empty() ? "" : "Content-Length: " + std::to_string(request.body.size()) + "\r\n") + "\r\n" + request.body;
}

/// Sends the request on the stream and waits for the answer until the client's time budget is over.
inline ClientAnswer sendRequest(Stream &stream, const ClientRequest &request)
{
    ClientAnswer answer;
    answer.sentAt = SteadyClock::now();
    if (stream.isOpen() && stream.send(formatRequest(request))) {
        answer.end = stream.read(answer.message, answer.sentAt + Ms(request.deadlineMs));
        answer.status = answer.end == ReadEnd::Whole ? answer.message.status() : 0;
    }
    answer.endedAt = SteadyClock::now();
    return answer;
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

struct RouteOptions
{
    std::string name;
    std::string prefix;
    std::string type = "safe";
    std::string service;
    int timeoutMs = 1500;
    int maxAttempts = 2;
    int objectiveMs = 600;
    int priority = 1;
};

struct TenantOptions
{
    std::string name;
    std::vector<std::string> keys;
    double ratePerSecond = 0;
    double burst = 0;
};

inline json::value makeConfiguration(unsigned version,
                                     const std::string &host,
                                     const std::vector<RouteOptions> &routes,
                                     const std::vector<std::string> &services,
                                     const std::vector<TenantOptions> &tenants)
{
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%08x", version);
    json::array rules;
    for (const RouteOptions &it : routes) {
        rules.push_back({{"name", it.name},
                         {"route-type", it.type},
                         {"target-latency-ms", it.objectiveMs},
                         {"priority", it.priority},
                         {"anonymous", false},
                         {"match", {{"path-prefix", it.prefix}}},
                         {"action", {{"service", it.service}, {"timeout-ms", it.timeoutMs}, {"max-attempts", it.maxAttempts}}}});
    }
    json::array clusters;
    for (const std::string &it : services) {
        clusters.push_back({{"name", it}, {"health-path", "/health"}, {"max-connections", 360}, {"protocol", "h1"}, {"tls", false}});
    }
    json::array tenantList;
    for (const TenantOptions &it : tenants) {
        tenantList.push_back({{"name", it.name},
                              {"api-keys", json::value_from(it.keys)},
                              {"priority", 1},
                              {"rate-per-s", it.ratePerSecond},
                              {"burst", it.burst}});
    }
    return json::object{
        {"version", digits},
        {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 67108864}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
        {"tenants", tenantList},
        {"listeners", json::array{json::object{{"hostname", host}, {"rules", rules}}}},
        {"clusters", clusters}};
}

} // namespace Review
