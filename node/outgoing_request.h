#pragma once

#include "http/http.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace balsamhook
{

/// A caller's request as it is forwarded to targets. The parts that are the same for all targets are serialized once. Immutable.
class outgoing_request
{
public:
    /// Precondition: the request has a Request-Id header.
    explicit outgoing_request(const http_message &request);

    /// Returns the request for one target. The time left is sent in the Deadline-Ms header, at least 1 ms.
    serialized_request serialize(std::string_view targetId, std::chrono::milliseconds timeLeft) const;

    const std::string &requestId() const;

    /// Hash of method, host, request target and body; the same for each retry by the caller.
    std::uint64_t fingerprint() const;

    /// False for HEAD, whose responses have no body.
    bool expectsBody() const;

private:
    std::string m_head; ///< Request line and common headers, each terminated by CRLF.
    std::shared_ptr<const std::string> m_body;
    std::shared_ptr<void> m_memory; ///< Counts the memory of the request.
    std::string m_requestId;
    std::string m_identity; ///< Method, host and request target.
    bool m_expectsBody = true;
};

} // namespace balsamhook
