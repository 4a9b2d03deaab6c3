#pragma once

/// Public header of the wire library: messages between the system's own processes, their codec, and frame connections.

#include "wire/frame_connection.h"
#include "wire/message_codec.h"
#include "wire/protocol.h"
