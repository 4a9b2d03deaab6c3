#include "base/error.h"

namespace balsamhook
{

std::string_view nameOf(error_step step)
{
    switch (step) {
    case error_step::Settings:
        return "settings";
    case error_step::Resolve:
        return "resolve";
    case error_step::Listen:
        return "listen";
    case error_step::Connect:
        return "connect";
    case error_step::Send:
        return "send";
    case error_step::Receive:
        return "receive";
    case error_step::Decode:
        return "decode";
    case error_step::Validate:
        return "validate";
    case error_step::Store:
        return "store";
    case error_step::Admission:
        return "admission";
    case error_step::Internal:
        return "internal";
    }
    return "internal";
}

std::string_view nameOf(error_code code)
{
    switch (code) {
    case error_code::Invalid:
        return "invalid";
    case error_code::NotFound:
        return "not_found";
    case error_code::Conflict:
        return "conflict";
    case error_code::Timeout:
        return "timeout";
    case error_code::Closed:
        return "closed";
    case error_code::Unreachable:
        return "unreachable";
    case error_code::TooLarge:
        return "too_large";
    case error_code::Overloaded:
        return "overloaded";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::Protocol:
        return "protocol";
    case error_code::Unsettled:
        return "unsettled";
    }
    return "invalid";
}

std::string describe(const error &failure)
{
    std::string text(nameOf(failure.step));
    if (!failure.peer.empty()) {
        text += " " + failure.peer;
    }
    return text + ": " + failure.message;
}

std::ostream &operator<<(std::ostream &stream, const error &failure)
{
    return stream << describe(failure);
}

} // namespace balsamhook
