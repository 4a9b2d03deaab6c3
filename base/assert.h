#pragma once

namespace balsamhook
{

/// Logs the violated invariant with its location and aborts the process.
[[noreturn]] void failAssertion(const char *condition, const char *file, int line);

} // namespace balsamhook

/// Checks an invariant. Also enabled in release builds, because a process with a violated invariant must not continue to serve requests.
#define BALSAM_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::balsamhook::failAssertion(#condition, __FILE__, __LINE__))
