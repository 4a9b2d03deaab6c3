#pragma once

/// Public header of the HTTP library: server and client connections. Boost.Beast is used inside only.

#include "http/http_client.h"
#include "http/http_message.h"
#include "http/http_server.h"
