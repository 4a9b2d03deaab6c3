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

/// Parses "IP:port", without brackets around an IPv6 address. Invalid when the address isn't a numeric IPv4 or IPv6 address or the port isn't in 1..65535.
result<endpoint> parseEndpoint(std::string_view text);

/// Returns "IP:port", without brackets around an IPv6 address.
std::string describe(const endpoint &peer);

/// Settings of a program, each read from a flag (--name) or the environment (BALSAM_NAME), and validated before the program starts.
/// The error for an invalid setting gives its name, value and allowed range. Not thread-safe.
///
/// Precondition of all add functions: storage outlives parse(). Its value is the default.
class settings
{
public:
    explicit settings(const std::string &description);
    ~settings();
    settings(const settings &) = delete;
    settings &operator=(const settings &) = delete;

    /// Adds a text setting; an empty value is invalid.
    void addText(const std::string &name, std::string &storage, const std::string &help, bool required = false);

    /// Adds a setting that is a numeric IPv4 or IPv6 address.
    void addAddress(const std::string &name, std::string &storage, const std::string &help, bool required = false);

    /// Adds an "IP:port" setting.
    void addEndpoint(const std::string &name, endpoint &storage, const std::string &help, bool required = false);

    /// Adds an integer setting with an inclusive range.
    void addNumber(const std::string &name, std::int64_t &storage, std::int64_t minimum, std::int64_t maximum, const std::string &help);

    /// Adds a duration setting in milliseconds, given as a number without unit, with an inclusive range.
    void addDuration(const std::string &name,
                     std::chrono::milliseconds &storage,
                     std::chrono::milliseconds minimum,
                     std::chrono::milliseconds maximum,
                     const std::string &help);

    /// Adds a flag that is off by default.
    void addFlag(const std::string &name, bool &storage, const std::string &help);

    /// Parses the command line and the environment. Returns no value when the program can start. Otherwise prints the help or the error and returns
    /// the exit code.
    std::optional<int> parse(int argumentCount, char **arguments);

    /// Returns the underlying CLI11 application, for subcommands and positional arguments.
    CLI::App &application();

private:
    /// Adds an option with a value. store() validates and stores the value; it returns the error, or an empty text when the value is valid.
    CLI::Option *
    addOption(const std::string &name, std::function<std::string(const std::string &)> store, const std::string &typeName, const std::string &help);

    std::unique_ptr<CLI::App> m_application;
};

} // namespace balsamhook
