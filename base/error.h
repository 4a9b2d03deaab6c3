#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace balsamhook
{

/// The step of an operation at which an error arose.
enum class error_step : std::uint8_t {
    Settings,
    Resolve,
    Listen,
    Connect,
    Send,
    Receive,
    Decode,
    Validate,
    Store,
    Admission,
    Internal,
};

/// Kind of an error. Separate values exist only where calling code handles them differently.
enum class error_code : std::uint8_t {
    Invalid, ///< The input violates a rule; a retry fails again.
    NotFound,
    Conflict, ///< A conditional update found a different version.
    Timeout,
    Closed, ///< The connection was closed or lost.
    Unreachable, ///< No connection could be opened, or a listening socket couldn't be bound.
    TooLarge,
    Overloaded,
    Unavailable, ///< The peer responded that it can't serve requests at present.
    Protocol, ///< The peer violated the protocol.
    Unsettled, ///< The request was sent, but its effect is unknown.
};

/// An error with the step and the peer at which it arose.
struct error
{
    error_code code = error_code::Invalid;
    error_step step = error_step::Internal;
    std::string peer; ///< Address or name of the remote side; empty for local errors.
    std::string message; ///< One short sentence without the step and the peer.
};

/// Returns "step peer: message", or "step: message" when the peer is empty, for logs and error responses. Thread-safe.
std::string describe(const error &failure);

std::string_view nameOf(error_step step);
std::string_view nameOf(error_code code);
std::ostream &operator<<(std::ostream &stream, const error &failure);

/// Result of an operation that can fail. Calling value() on a failure terminates the process.
template<class Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

/// Builds a failed result. The return type converts to any result<Value>.
inline auto failure(error_code code, error_step step, std::string peer, std::string message)
{
    return boost::outcome_v2::failure(error{code, step, std::move(peer), std::move(message)});
}

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace balsamhook
