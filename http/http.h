#pragma once

/// Public header of the HTTP library: general-purpose server and client, and low-overhead connections to callers and targets. Boost.Beast is an
/// implementation detail.

#include "http/caller_connection.h"
#include "http/connection_account.h"
#include "http/exchange_machine.h"
#include "http/http_client.h"
#include "http/http_message.h"
#include "http/http_server.h"
#include "http/message_reader.h"
#include "http/response_memory.h"
#include "http/target_connection.h"
