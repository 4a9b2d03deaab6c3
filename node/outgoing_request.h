#pragma once

#include "http/http.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamhook
{

/// A caller's request in the form in which it is passed on to targets: everything but the headers that differ from target to target.
class outgoing_request
{
public:
    /// Precondition: the request has an id.
    explicit outgoing_request(const http_message &request);

    /// Returns the bytes for one target.
    std::string bytes(std::string_view targetId, std::chrono::milliseconds timeLeft) const;

    const std::string &requestId() const;

    /// The same for each try of a caller: a hash of method, host, target and body.
    std::uint64_t fingerprint() const;

    /// False for HEAD, whose responses have no body.
    bool expectsBody() const;

private:
    std::string m_head; ///< Request line and common headers, each line ended.
    std::string m_body;
    std::string m_requestId;
    std::string m_identity; ///< Method, host and target.
    bool m_expectsBody = true;
};

} // namespace balsamhook
