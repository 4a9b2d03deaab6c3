#pragma once

#include "base/base.h"
#include "wire/protocol.h"

#include <string>
#include <string_view>

namespace balsamhook
{

/// Encodes a message as one msgpack array [version, type, body], without the length prefix. Thread-safe.
std::string encodeMessage(const message &content);

/// Decodes the output of encodeMessage(). Protocol when the version or the type is unknown or the body is malformed. Never throws. Thread-safe.
result<message> decodeMessage(std::string_view payload);

/// Returns the name of the message's type, for logs and counters.
std::string_view messageName(const message &content);

} // namespace balsamhook
