#pragma once

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace balsamhook
{

/// Polls until the condition holds or the limit has passed; returns whether it holds.
inline bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        constexpr std::chrono::milliseconds PollInterval{10};
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

/// The program as a process of its own, with its log in a pipe.
class process
{
public:
    process()
        : m_settingsFile("/tmp/balsamhook-test-" + std::to_string(getpid()) + ".conf")
    {
    }

    ~process()
    {
        if (m_child > 0 && !exitStatus()) {
            kill(m_child, SIGKILL);
            waitpid(m_child, nullptr, 0);
        }
        closeLog();
        std::remove(m_settingsFile.c_str());
    }

    void writeSettings(const std::string &text) const
    {
        std::ofstream(m_settingsFile) << text;
    }

    /// Starts the program. maxDescriptors, if not 0, becomes the process's limit of open file descriptors.
    void start(rlim_t maxDescriptors = 0)
    {
        std::array<int, 2> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        m_child = fork();
        REQUIRE(m_child >= 0);
        if (m_child == 0) {
            // Ends with a test program that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(ends[1], STDOUT_FILENO);
            // Sockets of the test would stay open in the child.
            constexpr int FirstUnusedDescriptor = 3;
            constexpr int MaxDescriptors = 4096;
            for (int i = FirstUnusedDescriptor; i < MaxDescriptors; ++i) {
                close(i);
            }
            if (maxDescriptors > 0) {
                const rlimit limit{maxDescriptors, maxDescriptors};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            setenv("BALSAMHOOK_BOOT", m_settingsFile.c_str(), 1);
            execl(BALSAMHOOK_PROGRAM, BALSAMHOOK_PROGRAM, nullptr);
            _exit(127);
        }
        close(ends[1]);
        m_log = ends[0];
        fcntl(m_log, F_SETFL, O_NONBLOCK);
    }

    void closeLog()
    {
        if (m_log >= 0) {
            close(m_log);
        }
        m_log = -1;
    }

    pid_t id() const
    {
        return m_child;
    }

    void signal(int number) const
    {
        kill(m_child, number);
    }

    /// Returns the status of waitpid(); empty while the process runs.
    std::optional<int> exitStatus()
    {
        if (!m_status) {
            int status = 0;
            if (waitpid(m_child, &status, WNOHANG) == m_child) {
                m_status = status;
            }
        }
        return m_status;
    }

    bool hasLogged(const std::string &text)
    {
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0; m_log >= 0 && (size = read(m_log, buffer.data(), buffer.size())) > 0;) {
            m_text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return m_text.find(text) != std::string::npos;
    }

    bool waitForLog(const std::string &text)
    {
        constexpr std::chrono::seconds LogTimeout{5};
        return waitUntil([&] { return hasLogged(text) || exitStatus().has_value(); }, LogTimeout) && hasLogged(text);
    }

private:
    std::string m_settingsFile;
    pid_t m_child = -1;
    int m_log = -1;
    std::optional<int> m_status;
    std::string m_text;
};

} // namespace balsamhook
