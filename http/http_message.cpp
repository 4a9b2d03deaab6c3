#include "http/http_message.h"

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
