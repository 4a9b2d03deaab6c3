#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace CLI
{
class App;
class Option;
} // namespace CLI

namespace balsamhook
{

/// IP address and port of a peer.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const endpoint &other) const = default;
    auto operator<=>(const endpoint &other) const = default;
};

/// Parses "IP:port"; Invalid when the address isn't an IPv4 or IPv6 number or the port isn't in 1..65535.
result<endpoint> parseEndpoint(std::string_view text);

/// Returns "IP:port".
std::string describe(const endpoint &peer);

/// Settings of a program, each read from a flag (--name) or the environment (BALSAM_NAME), and checked before anything starts.
/// An invalid setting is refused by name, value and allowed range.
class settings
{
public:
    explicit settings(const std::string &description);
    ~settings();
    settings(const settings &) = delete;
    settings &operator=(const settings &) = delete;

    /// Adds a text setting. Precondition: storage outlives parse(). The value in storage is the default.
    void addText(const std::string &name, std::string &storage, const std::string &help, bool required = false);

    /// Adds an IP address setting.
    void addAddress(const std::string &name, std::string &storage, const std::string &help, bool required = false);

    /// Adds an "IP:port" setting.
    void addEndpoint(const std::string &name, endpoint &storage, const std::string &help, bool required = false);

    /// Adds a whole number with its inclusive range.
    void addNumber(const std::string &name, std::int64_t &storage, std::int64_t lowest, std::int64_t highest, const std::string &help);

    /// Adds a duration in milliseconds (a number without unit) with its inclusive range.
    void addDuration(const std::string &name,
                     std::chrono::milliseconds &storage,
                     std::chrono::milliseconds lowest,
                     std::chrono::milliseconds highest,
                     const std::string &help);

    /// Adds a flag that is off by default.
    void addFlag(const std::string &name, bool &storage, const std::string &help);

    /// Parses the command line and environment. Prints help or the error and returns the exit code when the program must not start;
    /// returns no value when it may start.
    std::optional<int> parse(int argumentCount, char **arguments);

    /// The underlying command line, for subcommands and positional arguments.
    CLI::App &application();

private:
    CLI::Option *addOption(const std::string &name, std::function<std::string(const std::string &)> accept, const std::string &shown, const std::string &help);

    std::unique_ptr<CLI::App> m_application;
};

} // namespace balsamhook
