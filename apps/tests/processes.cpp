#include "processes.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration)

namespace Pollenspoke {

namespace {

// Forked process that kills the remaining children when the test program exits or dies, seen as end-of-file on a pipe.
class Watchdog
{
public:
    Watchdog()
    {
        int pipeEnds[2];
        POLLENSPOKE_ASSERT(::pipe2(pipeEnds, O_CLOEXEC) == 0, "the tests need a pipe");
        m_pid = ::fork();
        if (m_pid == 0) {
            ::close(pipeEnds[1]);
            run(pipeEnds[0]);
        }
        ::close(pipeEnds[0]);
        m_pipe = pipeEnds[1];
    }

    ~Watchdog()
    {
        ::close(m_pipe);
        ::waitpid(m_pid, nullptr, 0);
    }

    Watchdog(const Watchdog &) = delete;
    Watchdog &operator=(const Watchdog &) = delete;

    void report(pid_t pid) const // child started; negative: child -pid ended
    {
        const ssize_t written = ::write(m_pipe, &pid, sizeof(pid));
        POLLENSPOKE_ASSERT(written == sizeof(pid), "the watchdog process must be running");
    }

private:
    [[noreturn]] static void run(int pipe)
    {
        std::set<pid_t> children;
        pid_t pid = 0;
        while (::read(pipe, &pid, sizeof(pid)) == sizeof(pid)) {
            if (pid > 0) {
                children.insert(pid);
            } else {
                children.erase(-pid);
            }
        }
        for (const pid_t it : children) {
            ::kill(it, SIGKILL);
        }
        ::_exit(0);
    }

    pid_t m_pid = -1;
    int m_pipe = -1;
};

const Watchdog &watchdog()
{
    static const Watchdog instance;
    return instance;
}

} // namespace

// Below the range from which the kernel takes the ports of outgoing connections: one of those was taken by another test between this call
// and the start of the process that listens.
std::uint16_t findFreePort()
{
    constexpr std::uint16_t firstPort = 10000;
    constexpr std::uint16_t lastPort = 32000;
    static std::mt19937 generator{std::random_device{}()};
    std::uniform_int_distribution<std::uint16_t> ports(firstPort, lastPort);
    constexpr int maxTries = 1000;
    for (int i = 0; i < maxTries; ++i) {
        const std::uint16_t port = ports(generator);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int bindResult = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        ::close(fd);
        if (bindResult == 0) {
            return port;
        }
    }
    POLLENSPOKE_ASSERT(false, "the tests need a free port on 127.0.0.1");
    return 0;
}

ScratchFolder::ScratchFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "pollenspoke-test-XXXXXX").string();
    POLLENSPOKE_ASSERT(::mkdtemp(pattern.data()) != nullptr, "the tests need a folder for temporary files");
    m_path = pattern;
}

ScratchFolder::~ScratchFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

std::string ScratchFolder::path(const std::string &name) const
{
    return m_path + "/" + name;
}

std::string ScratchFolder::write(const std::string &name, const std::string &text) const
{
    std::ofstream(path(name)) << text;
    return path(name);
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile)
{
    const Watchdog &childWatchdog = watchdog();
    std::vector<std::string> commandLine{program};
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(commandLine.size() + 1);
    for (std::string &it : commandLine) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int ec = ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    POLLENSPOKE_ASSERT(ec == 0, "build pollenspoked and pollenspokectl before running the tests");
    childWatchdog.report(m_pid);
}

Process::~Process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
}

void Process::signal(int number) const
{
    POLLENSPOKE_ASSERT(m_pid > 0, "signal() must not be called after wait()");
    ::kill(m_pid, number);
}

int Process::wait()
{
    if (m_pid > 0) {
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        watchdog().report(-m_pid);
        m_pid = -1;
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return m_status;
}

std::string binaryPath(const std::string &name)
{
    return std::string(POLLENSPOKE_BINARY_DIR) + "/bin/" + name;
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace Pollenspoke
