#include "base/settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace balsamhook
{

namespace
{

bool isIpNumber(const std::string &address)
{
    in6_addr ignored{};
    return inet_pton(AF_INET, address.c_str(), &ignored) == 1 || inet_pton(AF_INET6, address.c_str(), &ignored) == 1;
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failed != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string environmentName(const std::string &name)
{
    std::string variable = "BALSAM_" + name;
    std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char c) { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return variable;
}

std::string rangeText(std::int64_t lowest, std::int64_t highest, const std::string &unit)
{
    return std::to_string(lowest) + " to " + std::to_string(highest) + unit;
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    constexpr std::int64_t HighestPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(error_code::Invalid, error_step::Validate, "", "'" + std::string(text) + "' is not of the form IP:port");
    }
    std::string address(text.substr(0, colon));
    const std::optional<std::int64_t> port = parseNumber(text.substr(colon + 1));
    if (!isIpNumber(address) || !port || *port < 1 || *port > HighestPort) {
        return failure(error_code::Invalid, error_step::Validate, "", "'" + std::string(text) + "' is not an IP number and a port in 1 to 65535");
    }
    return endpoint{std::move(address), static_cast<std::uint16_t>(*port)};
}

std::string describe(const endpoint &peer)
{
    return peer.address + ":" + std::to_string(peer.port);
}

settings::settings(const std::string &description)
    : m_application(std::make_unique<CLI::App>(description))
{
    m_application->set_version_flag("--version", "balsamhook 0.1.0");
}

settings::~settings() = default;

CLI::Option *
settings::addOption(const std::string &name, std::function<std::string(const std::string &)> accept, const std::string &shown, const std::string &help)
{
    // The check runs for flags and environment alike and stores the value, so that a bad one is refused by name, value and range.
    CLI::Option *option = m_application->add_option_function<std::string>(
        "--" + name,
        [accept, name](const std::string &text) {
            const std::string complaint = accept(text);
            if (!complaint.empty()) {
                throw CLI::ValidationError("--" + name, "value '" + text + "' " + complaint);
            }
        },
        help);
    option->envname(environmentName(name));
    option->type_name(shown);
    return option;
}

void settings::addText(const std::string &name, std::string &storage, const std::string &help, bool required)
{
    addOption(
        name,
        [&storage](const std::string &text) {
            storage = text;
            return text.empty() ? std::string("is empty") : std::string();
        },
        "TEXT",
        help)
        ->required(required);
}

void settings::addAddress(const std::string &name, std::string &storage, const std::string &help, bool required)
{
    addOption(
        name,
        [&storage](const std::string &text) {
            storage = text;
            return isIpNumber(text) ? std::string() : std::string("is not an IP number");
        },
        "IP",
        help)
        ->required(required);
}

void settings::addEndpoint(const std::string &name, endpoint &storage, const std::string &help, bool required)
{
    addOption(
        name,
        [&storage](const std::string &text) {
            const result<endpoint> parsed = parseEndpoint(text);
            if (!parsed) {
                return std::string("is not an IP number and a port in 1 to 65535");
            }
            storage = parsed.value();
            return std::string();
        },
        "IP:PORT",
        help)
        ->required(required);
}

void settings::addNumber(const std::string &name, std::int64_t &storage, std::int64_t lowest, std::int64_t highest, const std::string &help)
{
    const std::string range = rangeText(lowest, highest, "");
    addOption(
        name,
        [&storage, lowest, highest, range](const std::string &text) {
            const std::optional<std::int64_t> number = parseNumber(text);
            if (!number || *number < lowest || *number > highest) {
                return "is not a whole number in " + range;
            }
            storage = *number;
            return std::string();
        },
        "NUMBER",
        help + " [" + std::to_string(storage) + "; " + range + "]");
}

void settings::addDuration(
    const std::string &name, std::chrono::milliseconds &storage, std::chrono::milliseconds lowest, std::chrono::milliseconds highest, const std::string &help)
{
    const std::string range = rangeText(lowest.count(), highest.count(), " ms");
    addOption(
        name,
        [&storage, lowest, highest, range](const std::string &text) {
            const std::optional<std::int64_t> number = parseNumber(text);
            if (!number || *number < lowest.count() || *number > highest.count()) {
                return "is not a whole number in " + range;
            }
            storage = std::chrono::milliseconds(*number);
            return std::string();
        },
        "MILLISECONDS",
        help + " [" + std::to_string(storage.count()) + "; " + range + "]");
}

void settings::addFlag(const std::string &name, bool &storage, const std::string &help)
{
    m_application->add_flag("--" + name, storage, help)->envname(environmentName(name));
}

std::optional<int> settings::parse(int argumentCount, char **arguments)
{
    try {
        m_application->parse(argumentCount, arguments);
    } catch (const CLI::ParseError &refused) {
        return m_application->exit(refused);
    }
    return std::nullopt;
}

CLI::App &settings::application()
{
    return *m_application;
}

} // namespace balsamhook
