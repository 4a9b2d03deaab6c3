#pragma once

#include "emulator/event_simulator.h"
#include "emulator/target_emulator.h"
