#include "http/http_message.h"

#include <cctype>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace
{

template<class Values>
std::string_view valueOf(const Values &values, std::string_view name)
{
    const auto found = values.find(name);
    return found == values.end() ? std::string_view() : std::string_view(found->second);
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool needsNoEncoding(char c)
{
    constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    return Unreserved.find(c) != std::string_view::npos;
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    return valueOf(headers, name);
}

std::string_view http_request::parameter(std::string_view name) const
{
    return valueOf(query, name);
}

std::string_view http_response::header(std::string_view name) const
{
    return valueOf(headers, name);
}

http_response errorResponse(unsigned status, std::string_view message, std::string_view field)
{
    nlohmann::json body = {{"error", message}};
    if (!field.empty()) {
        body["field"] = field;
    }
    // Messages may quote request bytes that aren't valid UTF-8, on which dump() throws by default.
    return jsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

http_response jsonResponse(unsigned status, std::string body)
{
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

http_response textResponse(unsigned status, std::string body)
{
    http_response response;
    response.status = status;
    response.contentType = "text/plain";
    response.body = std::move(body);
    return response;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return lower;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (needsNoEncoding(c)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += Digits[byte / 16];
        encoded += Digits[byte % 16];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
            i += 2;
            continue;
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        if (end > start) {
            segments.emplace_back(path.substr(start, end - start));
        }
        start = end + 1;
    }
    return segments;
}

} // namespace balsamhook
