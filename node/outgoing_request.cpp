#include "node/outgoing_request.h"

#include "platform/platform.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

/// A larger body is shared by the connections that send it.
constexpr std::size_t MaxCopiedBodyBytes = 4 * 1024;

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
    : m_body(std::make_shared<const std::string>(request.body))
    , m_memory(request.memory)
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
    const bool hasBody = !m_body->empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (hasBody) {
        m_head.append("Content-Length: ").append(std::to_string(m_body->size())).append("\r\n");
    }
}

serialized_request outgoing_request::serialize(std::string_view targetId, std::chrono::milliseconds timeLeft) const
{
    constexpr std::size_t OwnHeaderBytes = 96;
    const std::int64_t left = std::max<std::int64_t>(1, timeLeft.count());
    const bool isBodyShared = m_body->size() > MaxCopiedBodyBytes;
    serialized_request request;
    request.head.reserve(m_head.size() + OwnHeaderBytes + (isBodyShared ? 0 : m_body->size()));
    request.head.append(m_head);
    request.head.append(platform_header::Deadline).append(": ").append(std::to_string(left)).append("\r\n");
    request.head.append(platform_header::ExpectedTarget).append(": ").append(targetId).append("\r\n\r\n");
    if (isBodyShared) {
        request.body = m_body;
    } else {
        request.head.append(*m_body);
    }
    return request;
}

const std::string &outgoing_request::requestId() const
{
    return m_requestId;
}

std::uint64_t outgoing_request::fingerprint() const
{
    return stableHash(*m_body, stableHash(m_identity));
}

bool outgoing_request::expectsBody() const
{
    return m_expectsBody;
}

} // namespace balsamhook
