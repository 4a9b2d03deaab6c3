#include "node/outgoing_request.h"

#include "platform/platform.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// True for headers that aren't forwarded: those that this instance sets or handles itself, and hop-by-hop headers of the caller's connection.
bool isDropped(const header_field &field, const std::string *connectionOptions)
{
    if (isHopByHop(field.name) || isSameName(field.name, "Content-Length") || isSameName(field.name, "Expect")) {
        return true;
    }
    if (isSameName(field.name, platform_header::Deadline) || isSameName(field.name, platform_header::ExpectedTarget)) {
        return true;
    }
    // Headers that the Connection header lists are hop-by-hop too.
    return connectionOptions != nullptr && connectionOptions->find(field.name) != std::string::npos;
}

} // namespace

outgoing_request::outgoing_request(const http_message &request)
    : m_body(request.body)
    , m_expectsBody(request.method != "HEAD")
{
    const std::string *id = request.find(platform_header::RequestId);
    BALSAM_ASSERT(id != nullptr);
    m_requestId = *id;
    const std::string *host = request.find("Host");
    m_identity.append(request.method).append(" ").append(host == nullptr ? "" : *host).append(request.target);
    const std::string *connectionOptions = request.find("Connection");
    m_head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const header_field &field : request.fields) {
        if (!isDropped(field, connectionOptions)) {
            m_head.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
    const bool hasBody = !m_body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (hasBody) {
        m_head.append("Content-Length: ").append(std::to_string(m_body.size())).append("\r\n");
    }
}

std::string outgoing_request::bytes(std::string_view targetId, std::chrono::milliseconds timeLeft) const
{
    const std::int64_t left = std::max<std::int64_t>(1, timeLeft.count());
    std::string text;
    text.reserve(m_head.size() + m_body.size() + 96);
    text.append(m_head);
    text.append(platform_header::Deadline).append(": ").append(std::to_string(left)).append("\r\n");
    text.append(platform_header::ExpectedTarget).append(": ").append(targetId).append("\r\n\r\n");
    text.append(m_body);
    return text;
}

const std::string &outgoing_request::requestId() const
{
    return m_requestId;
}

std::uint64_t outgoing_request::fingerprint() const
{
    return stableHash(m_body, stableHash(m_identity));
}

bool outgoing_request::expectsBody() const
{
    return m_expectsBody;
}

} // namespace balsamhook
