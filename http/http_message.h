#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhook
{

/// Header fields by lower-case name.
using http_headers = std::map<std::string, std::string, std::less<>>;

struct http_request
{
    std::string method = "GET";
    std::string path; ///< Without the query string. A client encodes names in it with percentEncode().
    std::map<std::string, std::string, std::less<>> query; ///< Parameters, not percent-encoded.
    http_headers headers;
    std::string body;
    std::string peer; ///< "IP:port" of the client; set by the server.

    /// Returns the header's value, or an empty string if it is absent. Precondition: name is lower case.
    std::string_view header(std::string_view name) const;

    /// Returns the query parameter's value, or an empty string if it is absent.
    std::string_view parameter(std::string_view name) const;
};

struct http_response
{
    unsigned status = 200;
    std::string contentType = "application/json";
    http_headers headers;
    std::string body;

    /// Returns the header's value, or an empty string if it is absent. Precondition: name is lower case.
    std::string_view header(std::string_view name) const;
};

/// Returns a JSON response {"error": message, "field": field}, without "field" if field is empty.
http_response errorResponse(unsigned status, std::string_view message, std::string_view field = {});

/// Returns a response with an already serialized JSON body.
http_response jsonResponse(unsigned status, std::string body);

/// Returns a text/plain response.
http_response textResponse(unsigned status, std::string body);

/// Returns the text with ASCII capitals in lower case.
std::string lowerCase(std::string_view text);

/// Encodes a text for use as one segment of a path, or as a name or value in a query: every byte but letters, digits and "-._~" becomes %XX.
std::string percentEncode(std::string_view text);

/// Reverses percentEncode(). A "+" becomes a blank, as in queries; "%" without two hexadecimal digits stays as it is.
std::string percentDecode(std::string_view text);

/// Splits a path into its non-empty segments.
std::vector<std::string> splitPath(std::string_view path);

} // namespace balsamhook
