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

bool isNumericAddress(const std::string &address)
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

std::string rangeText(std::int64_t minimum, std::int64_t maximum, const std::string &unit)
{
    return std::to_string(minimum) + " to " + std::to_string(maximum) + unit;
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    constexpr std::int64_t MaxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(error_code::Invalid, error_step::Validate, "", "'" + std::string(text) + "' is not of the form IP:port");
    }
    std::string address(text.substr(0, colon));
    const std::optional<std::int64_t> port = parseNumber(text.substr(colon + 1));
    if (!isNumericAddress(address) || !port || *port < 1 || *port > MaxPort) {
        return failure(error_code::Invalid, error_step::Validate, "", "'" + std::string(text) + "' is not a numeric IP address and a port in 1 to 65535");
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
settings::addOption(const std::string &name, std::function<std::string(const std::string &)> store, const std::string &typeName, const std::string &help)
{
    // CLI11 calls the function for flags and environment variables alike, so both give the same error with name, value and range.
    CLI::Option *option = m_application->add_option_function<std::string>(
        "--" + name,
        [store, name](const std::string &text) {
            const std::string problem = store(text);
            if (!problem.empty()) {
                throw CLI::ValidationError("--" + name, "value '" + text + "' " + problem);
            }
        },
        help);
    option->envname(environmentName(name));
    option->type_name(typeName);
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
            return isNumericAddress(text) ? std::string() : std::string("is not a numeric IP address");
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
                return std::string("is not a numeric IP address and a port in 1 to 65535");
            }
            storage = parsed.value();
            return std::string();
        },
        "IP:PORT",
        help)
        ->required(required);
}

void settings::addNumber(const std::string &name, std::int64_t &storage, std::int64_t minimum, std::int64_t maximum, const std::string &help)
{
    const std::string range = rangeText(minimum, maximum, "");
    addOption(
        name,
        [&storage, minimum, maximum, range](const std::string &text) {
            const std::optional<std::int64_t> number = parseNumber(text);
            if (!number || *number < minimum || *number > maximum) {
                return "is not a whole number in " + range;
            }
            storage = *number;
            return std::string();
        },
        "NUMBER",
        help + " [" + std::to_string(storage) + "; " + range + "]");
}

void settings::addDuration(
    const std::string &name, std::chrono::milliseconds &storage, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, const std::string &help)
{
    const std::string range = rangeText(minimum.count(), maximum.count(), " ms");
    addOption(
        name,
        [&storage, minimum, maximum, range](const std::string &text) {
            const std::optional<std::int64_t> number = parseNumber(text);
            if (!number || *number < minimum.count() || *number > maximum.count()) {
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
    } catch (const CLI::ParseError &parseError) {
        return m_application->exit(parseError);
    }
    return std::nullopt;
}

CLI::App &settings::application()
{
    return *m_application;
}

} // namespace balsamhook
