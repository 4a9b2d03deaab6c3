#pragma once

namespace balsamhook
{

/// Logs the broken invariant and aborts the process.
[[noreturn]] void failAssertion(const char *condition, const char *file, int line);

} // namespace balsamhook

/// Checks an invariant. Stays on in release builds: a process that broke an invariant must not go on serving.
#define BALSAM_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::balsamhook::failAssertion(#condition, __FILE__, __LINE__))
