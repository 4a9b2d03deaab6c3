#pragma once

#include <cstdint>

namespace balsamhook
{

enum class message_kind : std::uint8_t {
    Request,
    Response,
};

} // namespace balsamhook
