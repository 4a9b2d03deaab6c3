#pragma once

#include "node/target_link.h"

namespace balsamhook
{

/// Finds out whether the target still runs after a connection to it ended without a response, and reports the result to the crash tracker. A connection
/// that is still open shows that it runs; without one, a new connection is attempted and kept for later requests. No effect while a check is pending.
/// Precondition: context outlives the check.
void checkLiveness(node_context &context, const target_link_ptr &link);

} // namespace balsamhook
