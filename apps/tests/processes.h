/// @file
/// Child processes, free ports and temporary files for tests. No child outlives the test program, even if that is killed.
#pragma once

#include <pollenspoke/base.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Pollenspoke {

std::uint16_t findFreePort(); // on 127.0.0.1, not of the range of outgoing connections

/// A temporary folder, removed with its contents on destruction.
class ScratchFolder
{
public:
    ScratchFolder();
    ~ScratchFolder();
    ScratchFolder(const ScratchFolder &) = delete;
    ScratchFolder &operator=(const ScratchFolder &) = delete;

    std::string write(const std::string &name, const std::string &text) const; // returns the path
    std::string path(const std::string &name) const;

private:
    std::string m_path;
};

/// A child process, killed on destruction. If the test program itself is killed, a watchdog process kills the child.
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    int wait(); // exit status; 128 + signal number if a signal ended it

private:
    pid_t m_pid = -1;
    int m_status = -1;
};

/// Exit status and output of a finished process.
struct ProcessResult
{
    int status = 0;
    std::string output; // stdout and stderr
};

std::string binaryPath(const std::string &name); // path of a program in the build folder
std::string readFile(const std::string &path);

} // namespace Pollenspoke
